package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Ports of an entry, each on a loopback address of its own.
const (
	frontPort   = 8624
	readyPort   = 8622
	peerPort    = 7060
	lastPort    = 7075
	metricsPort = 9464
)

// Bounds of a small deployment.
const (
	configApplyTime = 2 * time.Second
	visibleTime     = 3 * time.Second
	startTimeout    = 20 * time.Second
	callTimeout     = 3 * time.Second
)

// queue is a route of the configuration.
type queue struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path-prefix"`
	Kind        string  `json:"route-kind"`
	TimeoutMs   int     `json:"timeout-ms"`
	TargetMs    int     `json:"target-latency-ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max-attempts"`
	Stretch     float64 `json:"stretch"`
}

// newQueue returns a route with the usual figures.
func newQueue(name, prefix, service string) queue {
	return queue{Name: name, Host: "pule25.example", Prefix: prefix, Kind: "mutating", TimeoutMs: 3000, TargetMs: 600, Service: service, MaxAttempts: 4, Stretch: 1.6}
}

// entry is a process of the job service.
type entry struct {
	name, zone, ip string
	cmd            *exec.Cmd
}

func (e *entry) front() string { return net.JoinHostPort(e.ip, strconv.Itoa(frontPort)) }

// deployment is a small deployment: entries, the platform's services and the workers.
type deployment struct {
	rec     *record
	tasks   *taskBook
	store   *store
	fleet   *fleet
	dir     string // of settings and logs
	servers []*http.Server
	entries []*entry
	version int
	client  *http.Client
}

// newDeployment starts the platform's services.
func newDeployment(rec *record) (d *deployment, err error) {
	defer func() { err = errors.Wrap(err, "start the platform") }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	tasks, st := newTaskBook(rec), newStore()
	return &deployment{
		rec: rec, tasks: tasks, store: st, dir: dir, fleet: &fleet{store: st, tasks: tasks, rec: rec, rate: 1},
		client: &http.Client{Timeout: callTimeout},
	}, nil
}

// serve serves a handler at a free loopback port and returns its address.
func (d *deployment) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }() // returns when the deployment is closed
	return l.Addr().String(), nil
}

// configure writes the next version of the configuration, which is acknowledged when it returns.
func (d *deployment) configure(services []string, queues ...queue) {
	d.version += 3
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "rejects-overload": true, "spare": false})
	}
	d.store.put("op", "config", map[string]any{
		"version": d.version, "routes": queues, "services": list,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	for _, q := range queues {
		d.rec.write("operator", "version %d is acknowledged: %s%s is run by %s, timeout %d ms", d.version, q.Host, q.Prefix, q.Service, q.TimeoutMs)
	}
}

// startEntries starts an entry in each zone with the command of the deploy file, and waits until all are ready.
func (d *deployment) startEntries(program string, zones ...string) (err error) {
	defer func() { err = errors.Wrap(err, "start the entries") }()
	storeAddress, err := d.serve(d.store.handler())
	if err != nil {
		return err
	}
	cloudAddress, err := d.serve(d.fleet.handler())
	if err != nil {
		return err
	}
	for i, zone := range zones {
		ip, err := freeAddress()
		if err != nil {
			return err
		}
		e := &entry{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ip}
		if err := d.startEntry(e, program, storeAddress, cloudAddress); err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if d.allReady() {
			d.rec.write("platform", "all %d entries are ready", len(d.entries))
			return nil
		}
	}
	return errors.New("not ready in time")
}

// startEntry writes the settings of an entry as the template of the deploy file does, and starts it.
func (d *deployment) startEntry(e *entry, program, storeAddress, cloudAddress string) error {
	settings := map[string]any{
		"name": e.name, "zone": e.zone, "address": e.ip, "callers": e.front(), "readiness": net.JoinHostPort(e.ip, strconv.Itoa(readyPort)),
		"ports": []int{peerPort, lastPort}, "memory_mb": 284, "cpu_share": 0.4,
		"store":    map[string]any{"address": storeAddress, "row_bytes": 65536, "partition_writes_per_s": 150},
		"machines": map[string]any{"address": cloudAddress, "actions_per_s": 64.0},
		"advice":   "",
		"timing": map[string]any{
			"grace_s": 6, "max_lease_ms": maxLease.Milliseconds(), "retention_s": 120, "drain_ms": 2000, "stop_ms": 400, "notice_ms": 4500,
			"lease_ms": 3000, "move_s": moveTime.Seconds(), "maintenance_s": 2, "early_ms": 250, "harm_ms": 4000, "data_rack_factor": 2,
		},
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, e.name+".jsonc")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, e.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close() // the process has a copy
	e.cmd = exec.Command(program, "serve")
	e.cmd.Env = append(os.Environ(), "GANNETWELL_CONFIG="+path)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // see init
	return e.cmd.Start()
}

// allReady reports whether all entries call themselves ready.
func (d *deployment) allReady() bool {
	for _, e := range d.entries {
		resp, err := d.client.Get("http://" + net.JoinHostPort(e.ip, strconv.Itoa(readyPort)) + "/gannetwell/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// close ends everything that the deployment started.
func (d *deployment) close() {
	for _, e := range d.entries {
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait() // it was killed
	}
	d.fleet.close()
	for _, s := range d.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// freeAddress returns a loopback address at which the ports of an entry are free.
func freeAddress() (ip string, err error) {
	for range 50 {
		ip = fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
		if err = portsFree(ip); err == nil {
			return ip, nil
		}
	}
	return "", err
}

func portsFree(ip string) error {
	for _, port := range []int{frontPort, readyPort, peerPort, metricsPort} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return err
		}
		_ = l.Close()
	}
	return nil
}

// step is a step of a job.
type step struct {
	Count       int  `json:"count"`
	CPU         int  `json:"cpu"`
	MemMB       int  `json:"mem-mb"`
	EstimateMs  int  `json:"est-duration-ms,omitempty"`
	LongRunning bool `json:"long-running,omitempty"`
}

// call sends a client's request and returns the status and the body, status 0 for no answer.
func (d *deployment) call(method string, e *entry, q queue, id string, body any) (status int, answer string) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return 0, err.Error()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.front()+q.Prefix+id, bytes.NewReader(raw))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = q.Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := d.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(bytes.TrimSpace(text))
}

// request does what call does and records the request and its answer.
func (d *deployment) request(method string, e *entry, q queue, id string, body any) (status int, answer string) {
	d.rec.write("client", "%s %s%s%s to %s", method, q.Host, q.Prefix, id, e.name)
	status, answer = d.call(method, e, q, id, body)
	d.rec.write("client", "%s %s%s: %d %s", method, q.Prefix, id, status, answer)
	return status, answer
}

// submit submits a job and reports whether it was accepted, trying each entry in turn for some seconds.
func (d *deployment) submit(q queue, id, text string, s step) bool {
	for i := range 8 {
		status, _ := d.request(http.MethodPost, d.entries[i%len(d.entries)], q, id, map[string]any{"task-spec": text, "steps": []step{s}})
		if status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}
