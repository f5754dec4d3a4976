package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as clients send it.
type step struct {
	Count      int `json:"count"`
	CPU        int `json:"cpu"`
	MemMB      int `json:"mem-mb"`
	EstimateMs int `json:"est-duration-ms,omitempty"`

	lasts func(index int) time.Duration // how long its tasks really take
}

// job is what a client hands in.
type job struct {
	ID    string `json:"-"`
	Spec  string `json:"task-spec"`
	Steps []step `json:"steps"`
}

// jobTable tells minions what tasks need and how long they take.
type jobTable struct {
	mu   sync.Mutex
	jobs map[string]*job
}

func newJobTable() *jobTable { return &jobTable{jobs: map[string]*job{}} }

func (t *jobTable) add(j *job) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[j.ID] = j
	return j
}

// task returns the step of a task, named ID.K.STEP.INDEX, and how long the task takes.
func (t *jobTable) task(name string) (s *step, lasts time.Duration) {
	parts := strings.Split(name, ".")
	at, err := strconv.Atoi(parts[2])
	check(err)
	index, err := strconv.Atoi(parts[3])
	check(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	s = &t.jobs[parts[0]].Steps[at]
	return s, s.lasts(index)
}

var clientOfJobs = &http.Client{Timeout: 3 * time.Second}

// call sends a request of a client to an entry; status is 0 if no answer came.
func (w *world) call(e *entry, method, host, path string, body any) (status int, answer string) {
	var in io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		check(err)
		in = bytes.NewReader(raw)
	}
	r, err := http.NewRequest(method, "http://"+e.front+path, in)
	check(err)
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	resp, err := clientOfJobs.Do(r)
	if err != nil {
		w.logf("client: %s %s at %s: no answer (%v)", method, path, e.name, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	answer = strings.TrimSpace(string(raw))
	w.logf("client: %s %s at %s: %d %s", method, path, e.name, resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// submit hands a job in, at one entry after the other until it is accepted.
func (w *world) submit(host, prefix string, j *job, at ...*entry) {
	w.jobs.add(j)
	for i := range 20 {
		if status, _ := w.call(at[i%len(at)], "POST", host, prefix+j.ID, j); status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.logf("can't run: job %s was not accepted", j.ID)
	panic(errCantRun)
}

// writeConfig writes a configuration with the given routes (prefix by service) on one host.
func (w *world) writeConfig(version int, host string, service map[string]string, services []string, spare string) {
	type object map[string]any
	var routes, pools []object
	for prefix, name := range service {
		routes = append(routes, object{
			"name": fmt.Sprintf("r%d-%s", version, strings.Trim(prefix, "/")), "host": host, "path-prefix": prefix, "service": name, "priority": 0, "max-attempts": 4,
			"stretch": 1.6, "target-latency-ms": 600, "timeout-ms": 3000,
		})
	}
	for _, name := range services {
		pools = append(pools, object{"name": name, "health-path": "/health", "rejects-overload": true, "spare": name == spare})
	}
	w.store.put("op", "config", object{
		"version": version, "routes": routes, "services": pools,
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
	w.logf("operator: configuration %d is acknowledged: %v", version, fmt.Sprint(service))
}
