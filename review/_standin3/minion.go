package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a task on a minion.
type run struct {
	task     string
	id       int64
	started  time.Time
	atWork   time.Time // zero while a gang waits for its members
	need     room
	fills    bool
	percent  int
	stopping bool
	over     bool
	entry    string
	work     time.Duration // how long it works in all, 0 if it lasts
	target   int           // target_ms of a task that serves
	worked   time.Duration // of a task that fills, so far
	tails    []float64     // of a task that serves, in the last half second, in ms
	over4    time.Time     // since when it is over its target
	told     bool
	saves    bool
	saved    string
}

// checkpoint is the newest checkpoint of the run.
func (r *run) checkpoint() string {
	if r.saves && !r.atWork.IsZero() && time.Since(r.atWork) > 500*time.Millisecond {
		r.saved = fmt.Sprintf("cp/%s/%d/%d", r.task, r.id, int(time.Since(r.atWork)/(500*time.Millisecond)))
	}
	return r.saved
}

type end struct {
	n    int64
	task string
	run  int64
	how  string
	save string
	at   int64
}

// minion is one life of a machine.
type minion struct {
	w       *world
	m       *machine
	id      string
	pool    string
	address string
	srv     *http.Server
	born    time.Time
	noBeats chan struct{}

	mu       sync.Mutex
	dead     bool
	draining bool
	leaves   time.Time
	fence    int64
	until    int64 // the lease, in ms of the minion's clock
	lease    *time.Timer
	running  map[string]*run
	highest  map[string]int64 // by task, the highest run stopped or ended here
	ended    []end
	lastN    int64
	seen     int64
	lapsedN  int64 // ends up to this one came before the lease lapsed last
	changed  chan struct{}
	deaf     bool                                    // leaves every call without an answer, and does nothing
	onStop   func()                                  // called before the next stop order is read
	late     func(path string) (time.Duration, bool) // carries a call out later and doesn't answer
	sheds    float64                                 // the share of the calls that it rejects with 503
	drains   time.Time                               // since when it drains
}

func newMinion(w *world, m *machine, id string) *minion {
	n := &minion{w: w, m: m, id: id, pool: m.pool, born: time.Now(), running: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}), noBeats: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannot("listen: %v", err)
	}
	n.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Instance-Id", n.id)
		if n.isDraining() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	for _, op := range []string{"run-start", "run-stop", "hold", "pace"} {
		mux.HandleFunc("POST /gannetwell/"+op, func(rw http.ResponseWriter, r *http.Request) { n.call(op, rw, r) })
	}
	n.srv = &http.Server{Handler: mux}
	go func() { _ = n.srv.Serve(l) }()
	w.rec.add("minion %s starts on %s in %s", id, m.name, m.pool)
	n.write()
	return n
}

func (n *minion) write() {
	n.mu.Lock()
	state := "ready"
	if n.draining {
		state = "draining"
	}
	n.mu.Unlock()
	n.w.store.put("servers", n.id, map[string]any{
		"service": n.pool, "address": n.address, "zone": n.m.zone, "version": "v1", "slots": 8, "state": state, "cold-left-ms": 0, "machine": n.m.name,
		"capacity": n.m.capacity, "labels": []string{n.m.kind, n.m.rack}, "clock-ms": n.clock(), "call-seq": 1,
	})
}

func (n *minion) clock() int64 { return time.Since(n.born).Milliseconds() + 5000 }

func (n *minion) isDraining() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining
}

// die ends the minion; its row goes after a time.
func (n *minion) die(why string, rowFor time.Duration) {
	n.mu.Lock()
	n.dead = true
	for _, r := range n.running {
		if !r.over {
			r.over = true
			n.w.ranOut(n, r, why)
		}
	}
	n.wake()
	n.mu.Unlock()
	_ = n.srv.Close()
	n.w.rec.add("minion %s ends: %s", n.id, why)
	if rowFor == 0 {
		n.w.store.remove("servers", n.id)
		return
	}
	time.AfterFunc(rowFor, func() { n.w.store.remove("servers", n.id) })
}

// drain announces that the minion leaves, and ends it later for good.
func (n *minion) drain(after time.Duration) {
	n.mu.Lock()
	n.draining, n.leaves, n.drains = true, time.Now().Add(after), time.Now()
	n.mu.Unlock()
	n.w.rec.add("minion %s drains for %s", n.id, after)
	n.write()
}

func (n *minion) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

type callBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run-id"`
	Spec       string `json:"task-spec"`
	Deadline   int64  `json:"deadline-ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

func (n *minion) call(op string, w http.ResponseWriter, r *http.Request) {
	var b callBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Instance-Id", n.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != n.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n.mu.Lock()
	if f := n.onStop; f != nil && op == "run-stop" {
		n.onStop = nil
		n.mu.Unlock()
		f()
		n.mu.Lock()
	}
	deaf, late := n.deaf, n.late
	n.mu.Unlock()
	if deaf {
		<-r.Context().Done()
		return
	}
	if late != nil {
		if d, ok := late(op); ok {
			time.AfterFunc(d, func() { n.do(op, &b, r.RemoteAddr) })
			<-r.Context().Done()
			return
		}
	}
	if n.shedding() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, body := n.do(op, &b, r.RemoteAddr)
	if op == "hold" && status == 200 && b.WaitMs > 0 {
		timer := time.NewTimer(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
		defer timer.Stop()
		n.mu.Lock()
		for len(n.ended) == 0 && !n.dead && r.Context().Err() == nil {
			c := n.changed
			n.mu.Unlock()
			stop := false
			select {
			case <-c:
			case <-timer.C:
				stop = true
			case <-r.Context().Done():
				return
			}
			n.mu.Lock()
			if stop {
				break
			}
		}
		body = n.report()
		n.mu.Unlock()
	}
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}

// shedding reports whether the minion rejects a call now, without having done anything.
func (n *minion) shedding() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sheds > 0 && rand.Float64() < n.sheds
}

// do carries a call out.
func (n *minion) do(op string, b *callBody, from string) (status int, body map[string]any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		return 0, nil
	}
	refuse := func(reason string) (int, map[string]any) {
		if op != "hold" {
			n.w.rec.add("minion %s: %s %s run %d: 409 %s", n.id, op, b.Task, b.Run, reason)
		}
		return http.StatusConflict, map[string]any{"clock-ms": n.clock(), "reason": reason}
	}
	if b.Fence < n.fence {
		return refuse("fence")
	}
	n.fence = b.Fence
	switch op {
	case "hold":
		n.extend(b.Deadline)
		n.seen = max(n.seen, b.LastSeen)
		keep := n.ended[:0:0]
		for _, e := range n.ended {
			if e.n > n.seen {
				keep = append(keep, e)
			} else {
				n.w.noted(n, e, e.n > n.lapsedN)
			}
		}
		n.ended = keep
		return http.StatusOK, n.report()
	case "run-stop":
		n.highest[b.Task] = max(n.highest[b.Task], b.Run)
		if r := n.running[b.Task]; r != nil && r.id <= b.Run && !r.stopping {
			r.stopping = true
			n.w.rec.add("minion %s: stop %s run %d", n.id, b.Task, b.Run)
			n.w.stopOrdered(n, r)
			time.AfterFunc(n.w.stopTime, func() { n.finish(r, "stopped") })
		}
	case "pace":
		if r := n.running[b.Task]; r != nil && r.id == b.Run {
			n.w.rec.add("minion %s: pace %s run %d to %d", n.id, b.Task, b.Run, b.Percent)
			time.AfterFunc(paceMs*time.Millisecond, func() {
				n.mu.Lock()
				defer n.mu.Unlock()
				r.percent = b.Percent
			})
		}
	case "run-start":
		if b.Deadline <= n.clock() {
			return refuse("late")
		}
		n.extend(b.Deadline)
		if r := n.running[b.Task]; r != nil && r.id == b.Run {
			return http.StatusOK, map[string]any{"clock-ms": n.clock()}
		}
		if b.Run <= n.highest[b.Task] || n.running[b.Task] != nil {
			return refuse("old")
		}
		st, ok := n.w.stepOf(b.Task)
		if !ok {
			n.w.broken("UNASKED", "%s starts %s, which nobody sent", n.id, b.Task)
			return http.StatusBadRequest, nil
		}
		need := room{CPU: st.CPU, Mem: st.Mem, GPU: st.GPU}
		if st.Fills {
			need.CPU = 0
		}
		free := n.m.capacity
		for _, r := range n.running {
			free.CPU -= r.need.CPU
			free.Mem -= r.need.Mem
			free.GPU -= r.need.GPU
		}
		if need.CPU > free.CPU || need.Mem > free.Mem || need.GPU > free.GPU {
			if !n.w.unguarded {
				return refuse("room")
			}
			n.w.broken("LIMIT", "%s run %d starts on %s, which has %v left and doesn't guard its capacity", b.Task, b.Run, n.id, free)
		}
		if n.draining && time.Since(n.drains) > (drainMs+1500)*time.Millisecond {
			n.w.broken("DRAIN", "%s starts on %s, which drains for %s", b.Task, n.id, time.Since(n.drains))
		}
		r := &run{task: b.Task, id: b.Run, started: time.Now(), need: need, percent: 100, entry: from, saves: st.Checkpointing, saved: b.Checkpoint, fills: st.Fills, target: st.TargetMs}
		n.running[b.Task] = r
		n.w.started(n, r, b)
	}
	return http.StatusOK, map[string]any{"clock-ms": n.clock()}
}

// extend prolongs the lease; the lock is held.
func (n *minion) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	until := min(deadline, n.clock()+10_000)
	if until <= n.until && n.lease != nil {
		return
	}
	n.until = max(n.until, until)
	if n.lease != nil {
		n.lease.Stop()
	}
	n.lease = time.AfterFunc(time.Duration(n.until-n.clock())*time.Millisecond, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.clock() < n.until || n.dead {
			return
		}
		n.lapsedN = n.lastN
		for _, r := range n.running {
			n.endLocked(r, "lapsed")
		}
	})
}

// report answers both lists; the lock is held.
func (n *minion) report() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range n.running {
		percent := 0
		if !r.atWork.IsZero() {
			percent = n.w.percent(r)
		}
		running = append(running, []any{r.task, r.id, r.checkpoint(), percent, r.load()})
	}
	for _, e := range n.ended[:min(500, len(n.ended))] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.save})
		if e.at == 0 {
			e.at = n.w.rec.ms()
		}
	}
	b := map[string]any{"clock-ms": n.clock(), "running": running, "ended": ended}
	if n.draining {
		b["remaining-ms"] = max(0, time.Until(n.leaves).Milliseconds())
	}
	return b
}

func (n *minion) finish(r *run, how string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endLocked(r, how)
}

func (n *minion) endLocked(r *run, how string) {
	if r.over || n.dead {
		return
	}
	r.over = true
	if n.running[r.task] == r {
		delete(n.running, r.task)
	}
	n.highest[r.task] = max(n.highest[r.task], r.id)
	n.lastN++
	e := end{n: n.lastN, task: r.task, run: r.id, how: how, save: r.checkpoint()}
	n.ended = append(n.ended, e)
	n.w.ranOut(n, r, how)
	n.wake()
}

// taskID splits the name of a task.
func taskID(task string) (job string, k int64, step, index int) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return "", 0, 0, 0
	}
	k, _ = strconv.ParseInt(p[1], 10, 64)
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], k, step, index
}

func has(list []string, s string) bool { return slices.Contains(list, s) }
