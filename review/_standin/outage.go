package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Zones of the deployment, with an entry each.
var zones = []string{"cba-a", "cba-b", "ros-a"}

// workerRoom is what a worker has room for.
var workerRoom = capacity{CPU: 32_000, MemMB: 131_072}

// Figures of longOutage: short exercises, of which each worker ends more than 500 in the outage.
const (
	outageTime      = 9 * time.Second
	markingJobs     = 40
	markingTasks    = 100
	markingLength   = 300 * time.Millisecond
	markingCPU      = 400
	markingMemMB    = 64
	startsBefore    = 150 // that have begun when the outage begins
	finishTime      = 40 * time.Second
	markingWorkers  = 4
	pollingInterval = 200 * time.Millisecond
)

// longOutage plays an outage of the table service while many short tasks run. Their ends cannot be stored
// meanwhile, so that workers keep more of them than one answer lists.
func longOutage(d *deployment, program string, trouble bool) error {
	const service = "practica"
	q := newQueue("r-marking", "/marking/", service)
	d.configure([]string{service}, q)
	for i := range markingWorkers {
		if err := d.fleet.add(service, zones[i%len(zones)], fmt.Sprintf("r1-%d", 1+i/2), workerRoom); err != nil {
			return err
		}
	}
	if err := d.startEntries(program, zones...); err != nil {
		return err
	}
	d.tasks.define("marking", capacity{CPU: markingCPU, MemMB: markingMemMB}, markingLength)
	ids := make([]string, markingJobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("5c0e7a21d94b%04x", i)
		s := step{Count: markingTasks, CPU: markingCPU, MemMB: markingMemMB, EstimateMs: int(markingLength.Milliseconds())}
		if !d.submit(q, ids[i], "marking", s) {
			return errors.Errorf("job %s is not accepted", ids[i])
		}
	}
	if trouble {
		for starts, _ := d.tasks.counts(); starts < startsBefore; starts, _ = d.tasks.counts() {
			time.Sleep(time.Millisecond)
		}
		d.store.setDown(true)
		d.rec.write("platform", "the table service is down")
		time.Sleep(outageTime)
		d.store.setDown(false)
		d.rec.write("platform", "the table service is back")
	}
	d.awaitCompleted(q, ids)
	d.tasks.checkRepeats()
	return nil
}

// awaitCompleted waits until all jobs are reported as completed, or finishTime has passed.
func (d *deployment) awaitCompleted(q queue, ids []string) {
	open := ids
	for end := time.Now().Add(finishTime); len(open) > 0 && time.Now().Before(end); time.Sleep(pollingInterval) {
		var left []string
		for _, id := range open {
			if status, answer := d.call(http.MethodGet, d.entries[0], q, id, nil); status != http.StatusOK || answer != `{"state":"completed"}` {
				left = append(left, id)
			}
		}
		open = left
	}
	starts, ends := d.tasks.counts()
	d.rec.write("client", "%d of %d jobs are reported as completed; %d runs have started and %d have ended", len(ids)-len(open), len(ids), starts, ends)
}
