package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Times and limits of workers.
const (
	heartbeat    = 1500 * time.Millisecond
	maxLease     = 10 * time.Second
	stopTime     = 200 * time.Millisecond
	maxPollWait  = 2 * time.Second
	maxListed    = 500 // ends in one answer
	leaseChecks  = 20 * time.Millisecond
	servingAfter = 500 * time.Millisecond // after which a task that lasts is at work
)

// capacity is what a worker has room for.
type capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem-mb"`
	GPU   int `json:"gpu"`
}

// run is a run of a task.
type run struct {
	number  int64
	needs   capacity
	started time.Time
	length  time.Duration // 0 for a task that lasts
	timer   *time.Timer
	ending  bool // it was told to stop
}

// end is an entry of the list of ended runs.
type end struct {
	n    int64
	task string
	run  int64
	how  string
	at   time.Time
}

// worker is one life of a worker: it runs tasks under leases and lists what runs and what has ended.
type worker struct {
	id, vm, zone, rack, pool, address string
	room                              capacity
	tasks                             *taskBook
	store                             *store
	started                           time.Time
	server                            *http.Server
	rate                              float64     // of its clock, 1 for that of this program
	cut                               atomic.Bool // it is cut off from all entries, and runs on
	dead                              context.Context
	die                               context.CancelFunc

	mu      sync.Mutex
	free    capacity
	fence   int64
	lease   time.Time
	lapsed  time.Time // when the lease was last found to be over
	running map[string]*run
	highest map[string]int64 // greatest run that was started or stopped here, by task
	ended   []end
	lastEnd int64
	seen    int64
	changed chan struct{}
	callSeq int
}

// boot starts a life of a worker at an address of the loopback interface; port 0 stands for a free one.
func boot(id, vm, zone, rack, pool, address string, rate float64, room capacity, tasks *taskBook, st *store) (w *worker, err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w = &worker{
		id: id, vm: vm, zone: zone, rack: rack, pool: pool, address: l.Addr().String(), rate: rate, room: room, free: room, tasks: tasks, store: st,
		started: time.Now(), running: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	w.dead, w.die = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /gannetwell/run-start", w.serveStart)
	mux.HandleFunc("POST /gannetwell/run-stop", w.serveStop)
	mux.HandleFunc("POST /gannetwell/hold", w.serveHold)
	mux.HandleFunc("POST /gannetwell/pace", w.servePace)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }() // returns when the worker ends
	go w.beat()
	go w.watchLease()
	return w, nil
}

// beat writes the worker's row in the directory until it ends.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		w.callSeq++
		entry := map[string]any{
			"service": w.pool, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": w.room, "labels": []string{"a", w.rack}, "machine": w.vm, "clock-ms": w.clock(), "call-seq": w.callSeq,
		}
		w.mu.Unlock()
		w.store.put("servers", w.id, entry)
		select {
		case <-w.dead.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// end ends the worker's life with all that runs there.
func (w *worker) end() {
	w.die()
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.running {
		r.timer.Stop()
		w.tasks.ended(w, task, r.number, "gone")
	}
	w.running = map[string]*run{}
}

// watchLease ends what runs once the lease is over.
func (w *worker) watchLease() {
	for {
		select {
		case <-w.dead.Done():
			return
		case <-time.After(leaseChecks):
		}
		w.mu.Lock()
		if now := time.Now(); now.After(w.lease) {
			w.lapsed = now
			for task, r := range w.running {
				w.finish(task, r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// clock returns the worker's own steady clock in milliseconds.
func (w *worker) clock() int64 {
	return int64(float64(time.Since(w.started).Milliseconds()) * w.rate)
}

// silent reports whether the worker is cut off, after the caller has given up. The call had no effect.
func (w *worker) silent(r *http.Request) bool {
	if !w.cut.Load() {
		return false
	}
	<-r.Context().Done()
	return true
}

// order is the body of a call.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run-id"`
	Spec       string `json:"task-spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	Fence      int64  `json:"fence"`
	LastSeen   int64  `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
}

// receive reads a call, and answers it unless it is for this life and its fence is current. The lock is
// held when it returns true.
func (w *worker) receive(rw http.ResponseWriter, r *http.Request, o *order) bool {
	if w.silent(r) {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	w.mu.Lock()
	if o.Fence < w.fence {
		w.mu.Unlock()
		w.refuse(rw, "fence")
		return false
	}
	w.fence = o.Fence
	return true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock-ms": w.clock(), "reason": reason})
}

// extendLease applies a deadline by the worker's clock.
func (w *worker) extendLease(deadlineMs int64) {
	until := w.started.Add(time.Duration(float64(deadlineMs) / w.rate * float64(time.Millisecond)))
	if limit := time.Now().Add(maxLease); until.After(limit) {
		until = limit
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.receive(rw, r, &o) {
		return
	}
	reason := w.start(&o)
	w.mu.Unlock()
	if reason != "" {
		w.refuse(rw, reason)
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock-ms": w.clock()})
}

// start starts a run, and returns the reason for which it does not.
func (w *worker) start(o *order) (reason string) {
	if o.DeadlineMs <= w.clock() {
		return "late"
	}
	w.extendLease(o.DeadlineMs)
	if a := w.running[o.Task]; a != nil && a.number == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] || w.running[o.Task] != nil {
		return "old"
	}
	needs, length := w.tasks.work(o.Spec)
	if needs.CPU > w.free.CPU || needs.MemMB > w.free.MemMB || needs.GPU > w.free.GPU {
		return "room"
	}
	w.free = capacity{w.free.CPU - needs.CPU, w.free.MemMB - needs.MemMB, w.free.GPU - needs.GPU}
	a := &run{number: o.Run, needs: needs, started: time.Now(), length: length}
	w.running[o.Task], w.highest[o.Task] = a, o.Run
	w.tasks.started(w, o.Task, o.Run, o.Spec)
	a.timer = time.AfterFunc(lengthOrForever(length), func() { w.finishLater(o.Task, a, "done") })
	return ""
}

func lengthOrForever(d time.Duration) time.Duration {
	if d == 0 {
		return time.Hour
	}
	return d
}

// finishLater ends a run unless it has ended already.
func (w *worker) finishLater(task string, a *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[task] == a && w.dead.Err() == nil {
		w.finish(task, a, how)
	}
}

// finish lists the end of a run and frees its room. The lock is held.
func (w *worker) finish(task string, a *run, how string) {
	a.timer.Stop()
	delete(w.running, task)
	w.free = capacity{w.free.CPU + a.needs.CPU, w.free.MemMB + a.needs.MemMB, w.free.GPU + a.needs.GPU}
	w.lastEnd++
	w.ended = append(w.ended, end{w.lastEnd, task, a.number, how, time.Now()})
	w.tasks.ended(w, task, a.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.receive(rw, r, &o) {
		return
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if a := w.running[o.Task]; a != nil && a.number <= o.Run && !a.ending {
		a.ending = true
		time.AfterFunc(stopTime, func() { w.finishLater(o.Task, a, "stopped") })
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"clock-ms": w.clock()})
}

func (w *worker) servePace(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.receive(rw, r, &o) {
		return
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"clock-ms": w.clock()})
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.receive(rw, r, &o) {
		return
	}
	if o.DeadlineMs > 0 {
		w.extendLease(o.DeadlineMs)
	}
	if o.LastSeen > w.seen {
		w.seen = o.LastSeen
		w.ended = slices.DeleteFunc(w.ended, func(e end) bool {
			if e.n > o.LastSeen {
				return false
			}
			if w.lapsed.Before(e.at) { // an end is not taken note of across a lapse of the lease
				w.tasks.noted(w, e)
			}
			return true
		})
	}
	changed, listed := w.changed, len(w.ended)
	w.mu.Unlock()
	if wait := min(time.Duration(o.WaitMs)*time.Millisecond, maxPollWait); wait > 0 && listed == 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	if w.silent(r) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, http.StatusOK, w.account())
}

// account returns what runs and what has ended, as far as one answer lists it.
func (w *worker) account() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, a := range w.running {
		running = append(running, []any{task, a.number, "", a.percent(), a.needs.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListed)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock-ms": w.clock(), "running": running, "ended": ended}
}

// percent returns how much of the work is done; a task that lasts is at work at 100.
func (a *run) percent() int {
	ran := time.Since(a.started)
	if a.length > 0 {
		return int(min(99, 100*ran/a.length))
	}
	if ran >= servingAfter {
		return 100
	}
	return 0
}

// String names the worker in the record.
func (w *worker) String() string { return fmt.Sprintf("%s of %s in %s", w.id, w.pool, w.zone) }
