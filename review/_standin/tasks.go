package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// rule names a rule of the users' pages that a case checks.
type rule string

// The rules that the cases check.
const (
	ruleTwice   rule = "TWICE"
	ruleLost    rule = "LOST"
	ruleUnasked rule = "UNASKED"
)

// liveRun is a run that has not ended.
type liveRun struct {
	worker *worker
	run    int64
	since  time.Time
}

// doneRun is a run that ended as done.
type doneRun struct {
	worker *worker
	run    int64
	noted  bool // its end was taken note of
}

// lateStart is a start after a run of the same task had ended as done.
type lateStart struct {
	task   string
	run    int64
	worker *worker
	before *doneRun
}

// taskBook records every run of every task and finds the ones that break a rule.
type taskBook struct {
	rec *record

	mu     sync.Mutex
	specs  map[string]taskWork // by the text of the job
	live   map[string][]liveRun
	done   map[string]*doneRun // first run that ended as done, by task
	late   []lateStart
	failed map[string]int // runs that ended as failed, by job
	starts int
	ends   int
}

// taskWork is what a task of a job takes.
type taskWork struct {
	needs  capacity
	length time.Duration
}

func newTaskBook(rec *record) *taskBook {
	return &taskBook{rec: rec, specs: map[string]taskWork{}, live: map[string][]liveRun{}, done: map[string]*doneRun{}, failed: map[string]int{}}
}

// define tells what the tasks of a job take, by the job's text.
func (b *taskBook) define(text string, needs capacity, length time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.specs[text] = taskWork{needs, length}
}

func (b *taskBook) work(text string) (needs capacity, length time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.specs[text]
	return w.needs, w.length
}

// started records a start.
func (b *taskBook) started(w *worker, task string, number int64, _ string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	b.rec.write("run", "%s starts %s run %d", w, task, number)
	for _, l := range b.live[task] {
		if l.worker != w {
			b.rec.broken(ruleTwice, "%s has two runs at the same time: run %d at %s and run %d at %s", task, l.run, l.worker, number, w)
		}
	}
	b.live[task] = append(b.live[task], liveRun{w, number, time.Now()})
	if d := b.done[task]; d != nil {
		b.late = append(b.late, lateStart{task, number, w, d})
	}
}

// ended records an end.
func (b *taskBook) ended(w *worker, task string, number int64, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ends++
	b.rec.write("run", "%s ends %s run %d: %s", w, task, number, how)
	left := b.live[task][:0]
	for _, l := range b.live[task] {
		if l.worker != w || l.run != number {
			left = append(left, l)
		}
	}
	b.live[task] = left
	if how == "failed" {
		b.failed[jobOf(task)]++
	}
	if how == "done" && b.done[task] == nil {
		b.done[task] = &doneRun{worker: w, run: number}
	}
}

// noted records that a poll has acknowledged an end.
func (b *taskBook) noted(w *worker, e end) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := b.done[e.task]; d != nil && d.worker == w && d.run == e.run {
		d.noted = true
	}
}

// checkRepeats reports the starts that followed a run which had ended as done, if that end was taken note
// of then or later.
func (b *taskBook) checkRepeats() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.late {
		if l.before.noted {
			b.rec.broken(ruleTwice, "%s run %d starts at %s after run %d had ended done at %s, and that end was taken note of",
				l.task, l.run, l.worker, l.before.run, l.before.worker)
		}
	}
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// failures returns how many runs of a job have ended as failed.
func (b *taskBook) failures(job string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed[job]
}

// counts returns how many runs have started and ended so far.
func (b *taskBook) counts() (starts, ends int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts, b.ends
}

// workerOf returns the worker where a task runs, nil if it does not run.
func (b *taskBook) workerOf(task string) *worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	if live := b.live[task]; len(live) > 0 {
		return live[0].worker
	}
	return nil
}

// runsOf returns where tasks of a job run now.
func (b *taskBook) runsOf(job string) (where []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for task, live := range b.live {
		for _, l := range live {
			if jobOf(task) == job {
				where = append(where, fmt.Sprintf("%s run %d at %s", task, l.run, l.worker))
			}
		}
	}
	return where
}
