package main

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Figures of staleClock.
const (
	slowRate      = 0.98 // of a clock that runs 2% slow
	warmTasks     = 4
	warmCPU       = 30_000 // so that each worker gets one
	warmLength    = 300 * time.Millisecond
	idleTime      = 108 * time.Second
	longLength    = 30 * time.Second
	longCPU       = 2000
	staleMemMB    = 1024
	answerTime    = 10 * time.Millisecond // for the answer to a start to arrive
	takeoverTime  = 8 * time.Second       // in which the task starts again
	startWaitTime = 2 * time.Second
)

// staleClock plays a start at a worker that was idle for long, whose clock runs slow. Right after the
// answer the worker is cut off, and runs on, and the entry that gave the order is stopped as planned.
func staleClock(d *deployment, program string, trouble bool) error {
	const service, job = "practica", "5c0e7a21d94b0002"
	const task = job + ".0.0.0"
	q := newQueue("r-quiz", "/quiz/", service)
	d.configure([]string{service}, q)
	d.fleet.rate = slowRate
	for i := range warmTasks {
		if err := d.fleet.add(service, zones[i%len(zones)], "r1-1", workerRoom); err != nil {
			return err
		}
	}
	if err := d.startEntries(program, zones...); err != nil {
		return err
	}
	d.tasks.define("warm", capacity{CPU: warmCPU, MemMB: staleMemMB}, warmLength)
	d.tasks.define("long", capacity{CPU: longCPU, MemMB: staleMemMB}, longLength)
	warm := step{Count: warmTasks, CPU: warmCPU, MemMB: staleMemMB, EstimateMs: int(warmLength.Milliseconds())}
	if !d.submit(q, "5c0e7a21d94b0001", "warm", warm) {
		return errors.New("the first job is not accepted")
	}
	time.Sleep(idleTime)
	if !d.submit(q, job, "long", step{Count: 1, CPU: longCPU, MemMB: staleMemMB, EstimateMs: int(longLength.Milliseconds())}) {
		return errors.New("the second job is not accepted")
	}
	for end := time.Now().Add(startWaitTime); d.tasks.workerOf(task) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the task does not start")
		}
	}
	w := d.tasks.workerOf(task)
	time.Sleep(answerTime)
	if trouble {
		w.cut.Store(true)
		d.rec.write("platform", "%s is cut off and runs on", w)
		if err := d.stopStarter(task); err != nil {
			return err
		}
	}
	for end := time.Now().Add(takeoverTime); time.Now().Before(end) && d.rec.count(ruleTwice) == 0; {
		time.Sleep(pollingInterval)
	}
	return nil
}

// stopStarter sends the stop signal to the entry that has started a task, as its log tells.
func (d *deployment) stopStarter(task string) error {
	for _, e := range d.entries {
		raw, err := os.ReadFile(filepath.Join(d.dir, e.name+".log"))
		if err != nil {
			return err
		}
		if bytes.Contains(raw, []byte(`"event":"start_ordered","task":"`+task)) {
			d.rec.write("platform", "%s gets SIGTERM", e.name)
			return e.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	return errors.New("no entry has started the task")
}
