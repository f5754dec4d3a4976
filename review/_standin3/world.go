package main

import (
	"bytes"
	"cmp"
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
	"strings"
	"sync"
	"syscall"
	"time"
)

type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	Mem           int    `json:"mem-mb,omitempty"`
	GPU           int    `json:"gpu,omitempty"`
	Est           int    `json:"est-duration-ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	SameRack      bool   `json:"same-rack,omitempty"`
	Requires      string `json:"requires,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
	AntiAffinity  int    `json:"anti-affinity,omitempty"`
	LongRunning   bool   `json:"long-running,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMs      int    `json:"target_ms,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
	MayMiss       int    `json:"may_miss,omitempty"`
}

// behaviour is what the stand-in minions do with a task; it is the text of its task-spec.
type behaviour struct {
	Ms   int     `json:"ms"`   // how long a task works
	Fail float64 `json:"fail"` // the share of the runs that fail
	Note string  `json:"note"`
}

type job struct {
	id, spec string
	queue    int
	steps    []step
	times    int
	delayMs  int64 // of the first time, from 1970
	interval int64

	behave     behaviour
	body       []byte
	deadlineMs int   // of its calls, 0 for 3 s
	accepted   int64 // ms, 0 if not yet
	rejected   bool  // every attempt so far was rejected
	cancelSent int64
	cancelAck  int64
	runs       map[string][]*taskRun
	state      string // last reported
	gangs      map[string]*gangRun
}

type taskRun struct {
	minion     string
	m          *minion
	id         int64
	start, end int64 // ms; end 0 while it runs
	how        string
	noted      int64 // 0 if not
	workAt     int64
	stopAt     int64 // ms of the stop order
	k          int64
}

type gangRun struct {
	checkpoint string
	members    map[int]*run
	minions    map[int]*minion
	began      bool
	over       bool
}

type queue struct {
	name, host, prefix, pool string
	maxAttempts, priority    int
	targetMs                 int
	formerPools              []string
	dropped                  bool
}

// world is all that the stand-ins share.
type world struct {
	rec      *record
	store    *store
	cloud    *cloud
	stopTime time.Duration
	gangTime time.Duration
	bin, dir string

	mu     sync.Mutex
	jobs   map[string]*job
	queues []queue
	pools  []string
	spare  string

	unguarded bool // minions start whatever they are told
	version   int64
	entries   []*entry
	breaks    []string
	isClosed  bool
	clients   *http.Client
}

func newWorld(rec *record, bin, dir string) *world {
	w := &world{rec: rec, store: newStore(rec), stopTime: 400 * time.Millisecond, gangTime: 3 * time.Second, bin: bin, dir: dir, jobs: map[string]*job{}}
	w.cloud = &cloud{rec: rec, store: w.store, w: w, moveS: 1500 * time.Millisecond, upkeepS: 2 * time.Second}
	w.clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 4 * time.Second}
	return w
}

func (w *world) closed() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.isClosed }

// broken notes a broken rule.
func (w *world) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.rec.add("BROKEN %s", text)
	go func() { w.mu.Lock(); defer w.mu.Unlock(); w.breaks = append(w.breaks, text) }()
}

type cannotRun string

// cannot ends the case: it could not run.
func (w *world) cannot(format string, args ...any) {
	panic(cannotRun(fmt.Sprintf(format, args...)))
}

func (w *world) stepOf(task string) (step, bool) {
	id, _, s, _ := taskID(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil || s >= len(j.steps) {
		return step{}, false
	}
	return j.steps[s], true
}

// percent is the progress of a run, or 100 for one that lasts and is at work.
func (w *world) percent(r *run) int {
	worked := time.Since(r.atWork)
	if r.fills {
		worked = r.worked
	}
	if worked < 0 {
		return 0
	}
	if r.work == 0 {
		return 100
	}
	return min(99, int(100*worked/r.work))
}

// started checks a start and begins its work; the minion's lock is held.
func (w *world) started(n *minion, r *run, b *callBody) {
	now := w.rec.ms()
	w.mu.Lock()
	defer w.mu.Unlock()
	id, k, s, index := taskID(r.task)
	j := w.jobs[id]
	st := j.steps[s]
	w.rec.add("minion %s: start %s run %d (fence %d)", n.id, r.task, r.id, b.Fence)
	if b.Spec != j.spec {
		w.broken("UNASKED", "%s starts with another task-spec", r.task)
	}
	if cp := strings.Split(b.Checkpoint, "/"); b.Checkpoint != "" {
		base := r.task
		if st.Gang {
			base = r.task[:strings.LastIndex(r.task, ".")+1]
		}
		if len(cp) != 4 || !strings.HasPrefix(cp[1], base) {
			w.broken("UNASKED", "%s starts with checkpoint %q", r.task, b.Checkpoint)
		}
	}
	if j.rejected {
		w.broken("REFUSED", "%s starts, its job was rejected", r.task)
	}
	if j.cancelAck > 0 && now > j.cancelAck+3000 {
		w.broken("UNASKED", "%s starts %d ms after its job's cancelling was acknowledged", r.task, now-j.cancelAck)
	}
	if q := w.queues[j.queue]; q.pool != n.pool && !has(q.formerPools, n.pool) {
		w.broken("ROUTE", "%s starts in pool %s", r.task, n.pool)
	}
	if st.Requires != "" && st.Requires != n.m.kind && st.Requires != n.m.rack {
		w.broken("ROUTE", "%s starts on %s, which lacks label %s", r.task, n.id, st.Requires)
	}
	for _, o := range j.runs[r.task] {
		if o.end == 0 && !(st.Gang && o.id == r.id) {
			w.broken("TWICE", "%s run %d starts on %s while run %d is on %s", r.task, r.id, n.id, o.id, o.minion)
		}
	}
	for _, a := range st.After {
		for i := range j.steps[a].Count {
			if !j.done(fmt.Sprintf("%s.%d.%d.%d", id, k, a, i), j.steps[a]) {
				w.broken("ORDER", "%s starts before %d.%d is done", r.task, a, i)
			}
		}
	}
	if j.times > 0 {
		if due := j.delayMs + k*j.interval; time.Now().UnixMilli() < due-250 {
			w.broken("ORDER", "%s starts %d ms before its time", r.task, due-time.Now().UnixMilli())
		}
	}
	if st.AntiAffinity > 0 {
		c := 1
		for task, runs := range j.runs {
			if _, k2, s2, _ := taskID(task); s2 == s && k2 == k && task != r.task {
				for _, o := range runs {
					if o.end == 0 && o.minion == n.id {
						c++
					}
				}
			}
		}
		if c > st.AntiAffinity {
			w.broken("ROUTE", "%s is number %d of its step on %s", r.task, c, n.id)
		}
	}
	t := &taskRun{minion: n.id, m: n, id: r.id, start: now, k: k}
	j.runs[r.task] = append(j.runs[r.task], t)
	if st.Gang {
		w.joinGang(j, n, r, s, k, index)
		return
	}
	r.atWork = time.Now().Add(500 * time.Millisecond)
	if st.LongRunning {
		t.workAt = now + 500
		return
	}
	how, ms := "done", j.behave.Ms
	if rand.Float64() < j.behave.Fail {
		how, ms = "failed", ms/2
	}
	r.atWork, r.work = time.Now(), time.Duration(j.behave.Ms)*time.Millisecond
	if st.Fills {
		return // its work is done by share
	}
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { n.finish(r, how) })
}

// joinGang notes a member of a gang's run; the lock is held.
func (w *world) joinGang(j *job, n *minion, r *run, s int, k int64, index int) {
	key := fmt.Sprintf("%d.%d.%d", k, s, r.id)
	if j.gangs == nil {
		j.gangs = map[string]*gangRun{}
	}
	g := j.gangs[key]
	if g == nil {
		g = &gangRun{members: map[int]*run{}, minions: map[int]*minion{}}
		j.gangs[key] = g
	}
	if len(g.members) > 0 && g.checkpoint != r.saved {
		w.broken("UNASKED", "%s run %d brings checkpoint %q, another member %q", r.task, r.id, r.saved, g.checkpoint)
	}
	g.checkpoint = r.saved
	g.members[index], g.minions[index] = r, n
	if g.over {
		go n.finish(r, "broken")
		return
	}
	if len(g.members) < j.steps[s].Count {
		time.AfterFunc(w.gangTime, func() {
			w.mu.Lock()
			began := g.began
			w.mu.Unlock()
			if !began {
				n.finish(r, "alone")
			}
		})
		return
	}
	g.began = true
	how, ms := "done", j.behave.Ms
	fails := -1
	if rand.Float64() < j.behave.Fail {
		how, ms, fails = "failed", ms/2, rand.IntN(len(g.members))
	}
	for i, m := range g.members {
		m.atWork, m.work = time.Now(), time.Duration(j.behave.Ms)*time.Millisecond
		h := how
		if fails >= 0 && i != fails {
			h = "broken"
		}
		time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { g.minions[i].finish(m, h) })
	}
}

// done reports whether a task has a run that ended done; the lock is held.
func (j *job) done(task string, st step) bool {
	if st.Gang {
		base := task[:strings.LastIndex(task, ".")+1]
		for i := range st.Count {
			for _, o := range j.runs[fmt.Sprint(base, i)] {
				if o.how == "done" {
					return true
				}
			}
		}
		return false
	}
	for _, o := range j.runs[task] {
		if o.how == "done" {
			return true
		}
	}
	return false
}

// ranOut notes the end of a run; the minion's lock is held.
func (w *world) ranOut(n *minion, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, k, s, _ := taskID(r.task)
	j := w.jobs[id]
	w.rec.add("minion %s: %s run %d ends: %s", n.id, r.task, r.id, how)
	for _, o := range j.runs[r.task] {
		if o.m == n && o.id == r.id && o.end == 0 {
			if (how == "upkeep" || how == "move") && o.stopAt == 0 {
				w.checkAvail(n, r, o)
			}
			o.end, o.how = max(1, w.rec.ms()), how
		}
	}
	if j.steps[s].Gang && how != "done" {
		if g := j.gangs[fmt.Sprintf("%d.%d.%d", k, s, r.id)]; g != nil && !g.over {
			g.over = true
			if g.began {
				for i, m := range g.members {
					if m != r {
						go g.minions[i].finish(m, "broken")
					}
				}
			}
		}
	}
}

// noted notes that an end was taken note of; the minion's lock is held.
func (w *world) noted(n *minion, e end, counts bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _, _ := taskID(e.task)
	if !counts {
		return
	}
	for _, o := range w.jobs[id].runs[e.task] {
		if o.m == n && o.id == e.run && o.noted == 0 {
			o.noted = max(1, w.rec.ms())
		}
	}
}

// drainMs is drain-ms of the settings.
const drainMs = 2000

// stopOrdered notes a stop order; the minion's lock is held.
func (w *world) stopOrdered(n *minion, r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _, _ := taskID(r.task)
	for _, o := range w.jobs[id].runs[r.task] {
		if o.m == n && o.id == r.id && o.stopAt == 0 {
			o.stopAt = max(1, w.rec.ms())
			w.checkAvail(n, r, o)
		}
	}
}

// noticeMs is notice_ms of the settings.
const noticeMs = 4500

// checkAvail checks a stop order to a task of a step with may_miss: how many others of its step are away, ended
// by such an order or not at work for notice_ms. The lock is held.
func (w *world) checkAvail(n *minion, r *run, o *taskRun) {
	id, k, s, index := taskID(r.task)
	j := w.jobs[id]
	st := j.steps[s]
	now := w.rec.ms()
	if st.MayMiss == 0 || j.cancelSent > 0 || o.workAt == 0 || now < o.workAt || n.draining {
		return
	}
	away := []string{}
	for i := range st.Count {
		task := fmt.Sprintf("%s.%d.%d.%d", id, k, s, i)
		runs := j.runs[task]
		if i == index {
			continue
		}
		if len(runs) == 0 {
			if now-j.accepted >= noticeMs {
				away = append(away, task+" (never started)")
			}
			continue
		}
		last := runs[len(runs)-1]
		if last.end == 0 && last.stopAt == 0 && now < last.workAt && len(runs) > 1 {
			last = runs[len(runs)-2] // not yet at work again
		}
		switch {
		case last.stopAt > 0 || last.how == "upkeep" || last.how == "move":
			away = append(away, task+" (stopped)")
		case last.end > 0 && now-last.end >= noticeMs:
			away = append(away, fmt.Sprintf("%s (not at work for %d ms)", task, now-last.end))
		}
	}
	if len(away) >= st.MayMiss {
		w.broken("AVAIL", "%s, at work on %s, is ended by a stop order; away are %v, and %d may be", r.task, n.id, away, st.MayMiss)
	}
}

// final checks what can only be told at the end.
func (w *world) final() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		for task, runs := range j.runs {
			if j.rejected {
				w.broken("REFUSED", "%s ran, and each attempt to hand its job in was rejected", task)
			}
			_, _, s, _ := taskID(task)
			for _, a := range runs {
				failed := 0
				for _, b := range runs {
					if b.end == 0 || b.end >= a.start || b.noted == 0 {
						continue
					}
					if b.how == "done" {
						w.broken("TWICE", "%s run %d starts at %d ms after run %d ended done at %d ms", task, a.id, a.start, b.id, b.end)
					}
					if b.how == "failed" {
						failed++
					}
				}
				if q := w.queues[j.queue]; failed >= q.maxAttempts && !j.steps[s].LongRunning {
					w.broken("BUDGET", "%s run %d starts after %d failed", task, a.id, failed)
				}
			}
		}
	}
}

// ---- the operator

func (w *world) writeConfig() {
	type object map[string]any
	w.mu.Lock()
	w.version += 3
	var routes, services []object
	for _, q := range w.queues {
		if q.dropped {
			continue
		}
		routes = append(routes, object{
			"name": q.name, "host": q.host, "path-prefix": q.prefix, "route-kind": "mutating", "timeout-ms": 3000,
			"target-latency-ms": q.targetMs, "priority": q.priority, "service": q.pool, "max-attempts": q.maxAttempts, "stretch": 2,
		})
	}
	for _, p := range w.pools {
		services = append(services, object{"name": p, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "rejects-overload": !w.unguarded, "spare": p == w.spare})
	}
	c := object{
		"version": w.version, "routes": routes, "services": services,
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	w.mu.Unlock()
	w.store.put("op", "config", c)
	w.rec.add("operator: writes config version %d", w.version)
}

func (w *world) writeWave(v waveRow) {
	w.store.put("op", fmt.Sprintf("wave/%d", v.Wave), v)
	w.rec.add("operator: writes wave %d: %v, within %v s, max-count %d", v.Wave, v.Machines, v.WithinS, v.MaxCount)
}

func (w *world) waveState(n int) string {
	r, ok := w.store.get("status", fmt.Sprintf("wave/%d", n))
	if !ok {
		return ""
	}
	var v struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(r.Value, &v)
	return v.State
}

// ---- entries

type entry struct {
	w       *world
	name    string
	ip      string
	zone    string
	store   string
	cloud   string
	cmd     *exec.Cmd
	exited  chan struct{}
	starts  int
	wanted  bool // its end was brought about by the case
	servers []*http.Server
}

// freeIP returns a loopback address on which an entry can listen.
func freeIP() string {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		ok := true
		for _, port := range []string{"7060", "7075", "8622", "8624", "9464"} {
			l, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				ok = false
				break
			}
			_ = l.Close()
		}
		if ok {
			return ip
		}
	}
	return ""
}

func (w *world) addEntry(zone string) *entry {
	e := &entry{w: w, name: fmt.Sprintf("front-%s-%d", zone, len(w.entries)+1), zone: zone, ip: freeIP()}
	if e.ip == "" {
		w.cannot("no free loopback address")
	}
	var s1, s2 *http.Server
	var err error
	if e.store, s1, err = w.store.listen(e.name, w.cloud); err != nil {
		w.cannot("listen: %v", err)
	}
	if e.cloud, s2, err = w.cloud.listen(e.name); err != nil {
		w.cannot("listen: %v", err)
	}
	e.servers = []*http.Server{s1, s2}
	type object map[string]any
	raw, _ := json.MarshalIndent(object{
		"name": e.name, "zone": zone, "address": e.ip, "callers": e.ip + ":8624", "readiness": e.ip + ":8622", "ports": []int{7060, 7075},
		"memory_mb": 284, "cpu_share": 1.0, "log_level": "info",
		"store":    object{"address": e.store, "row_bytes": 65536, "partition_writes_per_s": 150},
		"machines": object{"address": e.cloud, "actions_per_s": 64}, "advice": "",
		"timing": object{
			"grace_s": 6, "max_lease_ms": 10000, "retention_s": 120, "drain_ms": 2000, "stop_ms": 400, "notice_ms": 4500, "lease_ms": 3000,
			"move_s": 1.5, "maintenance_s": 2, "early_ms": 250, "harm_ms": 4000, "data_rack_factor": 2,
		},
	}, "", "  ")
	if err := os.WriteFile(filepath.Join(w.dir, e.name+".json"), raw, 0o600); err != nil {
		w.cannot("write settings: %v", err)
	}
	w.entries = append(w.entries, e)
	return e
}

func (e *entry) start() {
	e.starts++
	log, err := os.Create(filepath.Join(e.w.dir, fmt.Sprintf("%s.%d.log", e.name, e.starts)))
	if err != nil {
		e.w.cannot("create log: %v", err)
	}
	e.cmd = exec.Command(e.w.bin, "serve", "--config", filepath.Join(e.w.dir, e.name+".json"))
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		e.w.cannot("start %s: %v", e.w.bin, err)
	}
	e.w.rec.add("%s starts as process %d", e.name, e.cmd.Process.Pid)
	e.wanted, e.exited = false, make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		_ = log.Close()
		if !e.wanted {
			e.w.broken("Fault", "%s ended by itself: %v", e.name, err)
		}
		close(exited)
	}(e.cmd, e.exited)
}

func (e *entry) signal(s syscall.Signal) {
	e.w.rec.add("%s gets %s", e.name, s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		e.wanted = true
	}
	_ = e.cmd.Process.Signal(s)
}

func (e *entry) kill() {
	if e.cmd == nil {
		return
	}
	e.signal(syscall.SIGKILL)
	<-e.exited
}

func (e *entry) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + e.ip + ":8622/gannetwell/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) startAll() {
	for _, e := range w.entries {
		e.start()
	}
	until := time.Now().Add(20 * time.Second)
	for _, e := range w.entries {
		for !e.ready() {
			if time.Now().After(until) {
				w.cannot("%s isn't ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.rec.add("all entries are ready")
}

func (w *world) close() {
	w.mu.Lock()
	w.isClosed = true
	w.mu.Unlock()
	for _, e := range w.entries {
		if e.cmd != nil {
			e.wanted = true
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
}

// ---- clients

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one client's call and returns the status, 0 without an answer, and the body.
func (w *world) call(e *entry, method string, q queue, id string, body []byte) (int, []byte) {
	return w.callWithin(e, method, q, id, body, 3000)
}

// callWithin sends one call of a client that waits for so long.
func (w *world) callWithin(e *entry, method string, q queue, id string, body []byte, deadlineMs int) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(deadlineMs)*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.ip+":8624"+q.prefix+id, bytes.NewReader(body))
	if err != nil {
		w.cannot("request: %v", err)
	}
	req.Host = q.host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.Itoa(deadlineMs))
	resp, err := w.clients.Do(req)
	if err != nil {
		w.rec.add("client: %s %s at %s: no answer (%v)", method, id, e.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	w.rec.add("client: %s %s at %s: %d %s", method, id, e.name, resp.StatusCode, strings.TrimSpace(string(raw)))
	return resp.StatusCode, raw
}

// submit hands a job in, at one entry after another, until it is accepted.
func (w *world) submit(j *job, tries int) bool {
	raw, _ := json.Marshal(j.behave)
	j.spec = string(raw)
	j.runs = map[string][]*taskRun{}
	if j.id == "" {
		j.id = newID()
	}
	body := map[string]any{"task-spec": j.spec, "steps": j.steps}
	if j.times > 0 {
		body["times"], body["initial-delay-ms"], body["interval-ms"] = j.times, j.delayMs, j.interval
	}
	b, _ := json.Marshal(body)
	j.body = b
	w.mu.Lock()
	w.jobs[j.id] = j
	q := w.queues[j.queue]
	w.mu.Unlock()
	rejected := true
	for range tries {
		e := w.entries[rand.IntN(len(w.entries))]
		status, _ := w.callWithin(e, "POST", q, j.id, b, cmp.Or(j.deadlineMs, 3000))
		if status/100 == 2 {
			w.mu.Lock()
			j.accepted = w.rec.ms()
			w.mu.Unlock()
			return true
		}
		if status != 429 && status != 503 {
			rejected = false
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.mu.Lock()
	j.rejected = rejected
	w.mu.Unlock()
	return false
}

// state asks for a job's state.
func (w *world) state(e *entry, j *job) string {
	status, raw := w.call(e, "GET", w.queues[j.queue], j.id, nil)
	if status == 410 {
		return "410"
	}
	var v struct {
		State string `json:"state"`
	}
	if status != 200 || json.Unmarshal(raw, &v) != nil {
		return ""
	}
	w.checkState(j, v.State)
	return v.State
}

// checkState checks a reported state.
func (w *world) checkState(j *job, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j.state = state
	q := w.queues[j.queue]
	switch state {
	case "completed":
		for k := range max(1, j.times) {
			for s, st := range j.steps {
				for i := range st.Count {
					if !j.done(fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, i), st) {
						w.broken("MIXED", "%s is completed, but %d.%d.%d has not ended so", j.id, k, s, i)
					}
				}
			}
		}
	case "failed":
		worst := 0
		for task, runs := range j.runs {
			n := 0
			_, _, s, _ := taskID(task)
			for _, r := range runs {
				if r.how == "failed" {
					n++
				}
			}
			if j.steps[s].Gang {
				n = q.maxAttempts // judged by its members together, not here
			}
			worst = max(worst, n)
		}
		if worst < q.maxAttempts {
			w.broken("LOST", "%s is reported as failed, and no task has failed more than %d times (max-attempts %d)", j.id, worst, q.maxAttempts)
		}
	case "cancelled":
		if j.cancelSent == 0 {
			w.broken("LOST", "%s is reported as cancelled, and nobody cancelled it", j.id)
		}
	}
}

// cancel cancels a job.
func (w *world) cancel(e *entry, j *job) bool {
	w.mu.Lock()
	if j.cancelSent == 0 {
		j.cancelSent = max(1, w.rec.ms())
	}
	w.mu.Unlock()
	status, _ := w.call(e, "DELETE", w.queues[j.queue], j.id, nil)
	if status/100 == 2 || status == 410 {
		w.mu.Lock()
		if j.cancelAck == 0 {
			j.cancelAck = w.rec.ms()
		}
		w.mu.Unlock()
		return true
	}
	return false
}
