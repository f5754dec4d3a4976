package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Figures of flappingPool: live rooms, which last until they are cancelled.
const (
	roomJobs     = 12
	roomTasks    = 3
	roomCPU      = 2600
	roomMemMB    = 8192
	roomWorkers  = 6
	upTime       = 3500 * time.Millisecond
	downTime     = 1500 * time.Millisecond
	crashes      = 6
	settledTime  = 15 * time.Second // after the last return
	failedAnswer = `"failed"`
)

// flappingPool plays a pool whose workers go down and up by turns, all at once, while lasting jobs run
// there. Then it leaves the pool alone and looks at the jobs.
func flappingPool(d *deployment, program string, trouble bool) error {
	const service = "practica"
	q := newQueue("r-room", "/room/", service)
	d.configure([]string{service}, q)
	for i := range roomWorkers {
		if err := d.fleet.add(service, zones[i%len(zones)], fmt.Sprintf("r1-%d", 1+i/4), workerRoom); err != nil {
			return err
		}
	}
	if err := d.startEntries(program, zones...); err != nil {
		return err
	}
	d.tasks.define("room", capacity{CPU: roomCPU, MemMB: roomMemMB}, 0)
	ids := make([]string, roomJobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("7e21a900c3d1%04x", i)
		s := step{Count: roomTasks, CPU: roomCPU, MemMB: roomMemMB, EstimateMs: 900, LongRunning: true}
		if !d.submit(q, ids[i], "room", s) {
			return errors.Errorf("job %s is not accepted", ids[i])
		}
	}
	for range crashes {
		time.Sleep(upTime)
		if trouble {
			d.fleet.crashPool(service, downTime)
		}
		time.Sleep(downTime)
	}
	time.Sleep(settledTime)
	for i, id := range ids {
		status, answer := d.request(http.MethodGet, d.entries[i%len(d.entries)], q, id, nil)
		if status == http.StatusOK && strings.Contains(answer, failedAnswer) && d.tasks.failures(id) == 0 {
			d.rec.broken(ruleLost, "job %s is reported as failed, and no run of it has ended as failed", id)
		}
		if running := d.tasks.runsOf(id); len(running) == 0 {
			d.rec.write("client", "nothing of job %s runs", id)
		}
	}
	return nil
}
