package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of minions, as in the settings on DEPLOY.md.
const (
	heartbeat   = 1500 * time.Millisecond
	stopTime    = 200 * time.Millisecond
	maxHold     = 10 * time.Second
	clockOffset = 480_000 // ms that the clock of a new minion shows
)

// resources are a minion's room or a task's needs.
type resources struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem-mb"`
	GPU   int `json:"gpu"`
}

// run is a run of a task at a minion.
type run struct {
	task    string
	id      int64
	needs   resources
	started time.Time
	lasts   time.Duration
	stopAt  time.Time // when its stop takes effect, zero for none
}

// end is a listed end: [N, task, run, how, saved].
type end struct {
	n   int64
	tsk string
	run int64
	how string
}

// minion is one life of a machine.
type minion struct {
	world    *world
	id       string
	machine  string
	service  string
	zone     string
	address  string
	labels   []string
	capacity resources
	booted   time.Time

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	fence    int64
	deadline int64 // by the clock of the minion
	running  map[string]*run
	highest  map[string]int64 // by task: highest run that ended or was stopped
	ends     []end
	lastN    int64
	seen     int64
	changed  chan struct{}
	gone     bool
	cut      bool // cut off from all machines of the system: calls do not arrive
	seq      int
}

// startMinion boots a minion and lists it.
func (w *world) startMinion(id, machine, service, zone string, labels []string, room resources) *minion {
	m := &minion{
		world: w, id: id, machine: machine, service: service, zone: zone, labels: labels, capacity: room, booted: time.Now(),
		running: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	m.listener, m.address = l, l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /gannetwell/run-start", m.start)
	mux.HandleFunc("POST /gannetwell/run-stop", m.stop)
	mux.HandleFunc("POST /gannetwell/hold", m.hold)
	mux.HandleFunc("POST /gannetwell/pace", m.pace)
	m.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		cut := m.cut
		m.mu.Unlock()
		if cut {
			<-r.Context().Done() // nothing arrives, nothing is answered
			panic(http.ErrAbortHandler)
		}
		if x := r.Header.Get("Expect-Instance"); x != "" && x != m.id {
			rw.Header().Set("Instance-Id", m.id)
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	go func() { _ = m.server.Serve(l) }()
	go m.tick()
	go m.beat()
	w.logf("minion %s of machine %s is up in %s", id, machine, service)
	return m
}

// end ends the minion: what runs there dies.
func (m *minion) end() {
	m.mu.Lock()
	m.gone = true
	for _, r := range m.running {
		m.world.ran.ended(m, r, "died with the minion")
	}
	m.mu.Unlock()
	_ = m.server.Close()
	m.world.store.remove("servers", m.id)
	m.world.logf("minion %s of machine %s has ended", m.id, m.machine)
}

func (m *minion) clock() int64 { return clockOffset + time.Since(m.booted).Milliseconds() }

// beat writes the minion's row, as long as it lives.
func (m *minion) beat() {
	for {
		m.mu.Lock()
		gone := m.gone
		m.seq++
		seq := m.seq
		m.mu.Unlock()
		if gone {
			return
		}
		m.world.store.put("servers", m.id, map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"call-seq": seq, "machine": m.machine, "capacity": m.capacity, "labels": m.labels,
		})
		time.Sleep(heartbeat)
	}
}

// tick ends runs that are done, stopped or no longer leased.
func (m *minion) tick() {
	for {
		time.Sleep(2 * time.Millisecond)
		m.mu.Lock()
		if m.gone {
			m.mu.Unlock()
			return
		}
		now := time.Now()
		lapsed := m.clock() > m.deadline
		for _, r := range m.running {
			switch {
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				m.finish(r, "stopped")
			case lapsed:
				m.finish(r, "lapsed")
			case now.After(r.started.Add(r.lasts)):
				m.finish(r, "done")
			}
		}
		m.mu.Unlock()
	}
}

// finish lists the end of a run; mu is held.
func (m *minion) finish(r *run, how string) {
	delete(m.running, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.id)
	m.lastN++
	m.ends = append(m.ends, end{n: m.lastN, tsk: r.task, run: r.id, how: how})
	m.world.ran.ended(m, r, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// order is the body of any call to a minion.
type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run-id"`
	Spec     string `json:"task-spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fence"`
	LastSeen int64  `json:"last-seen"`
	WaitMs   int    `json:"wait-ms"`
}

// read reads a call and checks its fence; mu is held if it returns true.
func (m *minion) read(w http.ResponseWriter, r *http.Request, o *order) bool {
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	m.mu.Lock()
	if o.Fence < m.fence {
		m.mu.Unlock()
		m.reject(w, "fence")
		return false
	}
	m.fence = o.Fence
	return true
}

func (m *minion) reject(w http.ResponseWriter, why string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock-ms": m.clock(), "reason": why})
}

func (m *minion) accept(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"clock-ms": m.clock()})
}

// lease takes a deadline, cut to the longest hold; mu is held.
func (m *minion) lease(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+maxHold.Milliseconds()))
}

func (m *minion) start(w http.ResponseWriter, r *http.Request) {
	var o order
	if !m.read(w, r, &o) {
		return
	}
	defer m.mu.Unlock()
	if x := m.running[o.Task]; x != nil && x.id == o.Run {
		m.lease(o.Deadline)
		m.accept(w)
		return
	}
	if o.Deadline <= m.clock() {
		m.reject(w, "late")
		return
	}
	m.lease(o.Deadline)
	if m.running[o.Task] != nil || o.Run <= m.highest[o.Task] {
		m.reject(w, "old")
		return
	}
	st, lasts := m.world.jobs.task(o.Task)
	needs := resources{CPU: st.CPU, MemMB: st.MemMB}
	used := needs
	for _, x := range m.running {
		used.CPU += x.needs.CPU
		used.MemMB += x.needs.MemMB
	}
	if used.CPU > m.capacity.CPU || used.MemMB > m.capacity.MemMB {
		m.reject(w, "room")
		return
	}
	x := &run{task: o.Task, id: o.Run, needs: needs, started: time.Now(), lasts: lasts}
	m.running[o.Task] = x
	m.world.ran.began(m, x)
	m.accept(w)
}

func (m *minion) stop(w http.ResponseWriter, r *http.Request) {
	var o order
	if !m.read(w, r, &o) {
		return
	}
	defer m.mu.Unlock()
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if x := m.running[o.Task]; x != nil && x.id == o.Run && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTime)
	}
	m.accept(w)
}

func (m *minion) pace(w http.ResponseWriter, r *http.Request) {
	var o order
	if m.read(w, r, &o) {
		defer m.mu.Unlock()
		m.accept(w)
	}
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if !m.read(w, r, &o) {
		return
	}
	m.lease(o.Deadline)
	m.seen = max(m.seen, o.LastSeen)
	for len(m.ends) > 0 && m.ends[0].n <= o.LastSeen {
		m.world.ran.noted(m, m.ends[0])
		m.ends = m.ends[1:]
	}
	end := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for wait := o.WaitMs > 0; wait && len(m.ends) == 0; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			wait = false
		case <-r.Context().Done():
			return
		}
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	if m.cut {
		panic(http.ErrAbortHandler) // the answer does not get through
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range m.running {
		percent := min(99, int(100*time.Since(x.started)/x.lasts))
		running = append(running, []any{x.task, x.id, "", percent, x.needs.CPU})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		ended = append(ended, []any{e.n, e.tsk, e.run, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock-ms": m.clock(), "running": running, "ended": ended})
}

// setCut cuts the minion off from all machines of the system, or ends that.
func (m *minion) setCut(on bool) {
	m.mu.Lock()
	m.cut = on
	m.mu.Unlock()
	m.world.logf("minion %s is cut off from the machines of the system: %v", m.id, on)
}

// finishNow has a task end as done.
func (m *minion) finishNow(task string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.running[task]; r != nil {
		m.finish(r, "done")
	}
}
