package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// maxUnplacedTasks bounds the tasks for which a load looks for room, since each is compared with all
// workers. More tasks than that show in Load.Waiting.
const maxUnplacedTasks = 200

// minWorkers returns how many workers the widest long-running step needs, plus one to restart the
// tasks of a lost worker.
func (o *Owner) minWorkers() int {
	widest := 1
	for _, j := range o.registry.Active() {
		for _, s := range j.Steps {
			if s.Spec.LongRunning && s.Spec.MaxPerWorker > 0 {
				widest = max(widest, (len(s.Tasks)+s.Spec.MaxPerWorker-1)/s.Spec.MaxPerWorker)
			}
		}
	}
	return widest + 1
}

// unplacedTasks are long-running tasks that need room at a worker: an entry for each task, its step.
type unplacedTasks []*jobs.StepRun

// add adds n tasks of a step, unless it only fills what other tasks leave unused.
func (h *unplacedTasks) add(s *jobs.StepRun, n int) {
	if !s.Spec.LongRunning || s.Spec.Filler {
		return
	}
	for range min(n, maxUnplacedTasks-len(*h)) {
		*h = append(*h, s)
	}
}

// leavingTasks returns the tasks that have to leave their workers. Of a step that limits missing tasks
// only as many need room at once.
func (o *Owner) leavingTasks(now time.Duration) (h unplacedTasks) {
	perStep := map[*jobs.StepRun]int{}
	for _, s := range o.sessionsByBoot() {
		if s.ended || !s.draining && !s.drained(now) && !s.outOfUse() {
			continue
		}
		for _, r := range sortedByKey(s.attempts) {
			step := r.Task.Step
			perStep[step]++
			if !step.Spec.HasMaxUnavailable || perStep[step] <= step.Spec.MaxUnavailable {
				h.add(step, 1)
			}
		}
	}
	return h
}

// workersFor returns how many workers without long-running tasks the tasks would take, whether the
// pool has them or not.
func (o *Owner) workersFor(tasks unplacedTasks, capacity platform.Resources, now time.Duration) (n int) {
	if len(tasks) == 0 {
		return 0
	}
	hosts := o.futureHosts(now)
	var taken []*placement.Host
	for _, h := range hosts {
		if !h.HasLongRunning() {
			taken = append(taken, h)
		}
	}
	for _, step := range tasks {
		if placement.Reserve(step, hosts) {
			continue
		}
		added := &placement.Host{Capacity: capacity, Free: capacity}
		if placement.Reserve(step, []*placement.Host{added}) {
			hosts, taken = append(hosts, added), append(taken, added)
		}
	}
	for _, h := range taken {
		if h.HasLongRunning() {
			n++
		}
	}
	return n
}
