package main

import (
	"fmt"
	"time"
)

// capacity returns what of a pool is in use and what there is, in thousandths of a core, on minions that are up
// and don't drain, and how many more tasks of a step would fit.
func (c *cloud) capacity(pool string, st step) (used, all, fit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.pool != pool || m.state != "up" || m.minion == nil || m.minion.isDraining() {
			continue
		}
		if st.Requires != "" && st.Requires != m.kind && st.Requires != m.rack {
			continue
		}
		n := m.minion
		n.mu.Lock()
		cpu, mem := m.capacity.CPU, m.capacity.Mem
		all += cpu
		for _, r := range n.running {
			cpu -= r.need.CPU
			mem -= r.need.Mem
			used += r.need.CPU
		}
		n.mu.Unlock()
		k := cpu / max(1, st.CPU)
		if st.Mem > 0 {
			k = min(k, mem/st.Mem)
		}
		fit += max(0, k)
	}
	return used, all, fit
}

// ready returns a step of a job whose tasks wait though those of the steps before it are done, and how many of
// them wait; the lock is held.
func (j *job) ready() (st step, waiting int) {
	for s, st := range j.steps {
		ok := true
		for _, a := range st.After {
			for i := range j.steps[a].Count {
				ok = ok && j.done(fmt.Sprintf("%s.0.%d.%d", j.id, a, i), j.steps[a])
			}
		}
		n := 0
		for i := range st.Count {
			if !j.done(fmt.Sprintf("%s.0.%d.%d", j.id, s, i), st) {
				n++
			}
		}
		if ok && n > 0 {
			return st, n
		}
	}
	return step{}, 0
}

// watchAll looks for jobs without times that have nothing running for 3 s though a step is ready and fits twice
// over, while less than half of the pool is in use. It is for calm times.
func (w *world) watchAll(stop chan struct{}) {
	since, told := map[*job]time.Time{}, map[*job]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		w.mu.Lock()
		var jobs []*job
		for _, j := range w.jobs {
			if j.accepted > 0 && j.cancelSent == 0 && j.times == 0 {
				jobs = append(jobs, j)
			}
		}
		w.mu.Unlock()
		for _, j := range jobs {
			w.mu.Lock()
			running := 0
			for _, runs := range j.runs {
				for _, r := range runs {
					if r.end == 0 {
						running++
					}
				}
			}
			st, n := j.ready()
			pool := w.queues[j.queue].pool
			failed := j.state == "failed"
			w.mu.Unlock()
			idle := running == 0 && n > 0 && !failed
			if idle {
				used, all, fit := w.cloud.capacity(pool, st)
				idle = 2*used < all && fit >= 2*n
			}
			if !idle {
				delete(since, j)
				continue
			}
			if since[j].IsZero() {
				since[j] = time.Now()
			}
			if time.Since(since[j]) > 3*time.Second && !told[j] {
				told[j] = true
				w.broken("LOST", "%s (%+v, accepted at %d) has nothing running for 3 s", j.id, st, j.accepted)
			}
		}
	}
}
