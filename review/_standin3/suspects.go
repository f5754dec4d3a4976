package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

func init() { cases["suspects"] = suspects }

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

// watchIdle looks until a time for jobs of single steps that have nothing running for 3 s though all is calm
// since calmFrom, less than half of the pool is in use, and their tasks would fit twice over.
func (w *world) watchIdle(jobs []*job, calmFrom, until time.Time) {
	since, told := map[*job]time.Time{}, map[*job]bool{}
	for time.Now().Before(until) {
		open := 0
		for _, j := range jobs {
			st := j.steps[0]
			w.mu.Lock()
			running, done := 0, 0
			for _, runs := range j.runs {
				for _, r := range runs {
					if r.end == 0 {
						running++
					}
					if r.how == "done" {
						done++
					}
				}
			}
			pool := w.queues[j.queue].pool
			w.mu.Unlock()
			if done < st.Count {
				open++
			}
			used, all, fit := w.cloud.capacity(pool, st)
			idle := running == 0 && done < st.Count && 2*used < all && fit >= 2*(st.Count-done)
			if !idle {
				if d := time.Since(since[j]); !since[j].IsZero() && d > 3*time.Second {
					w.rec.add("%s had nothing running for %.1f s", j.id, d.Seconds())
				}
				delete(since, j)
				continue
			}
			if since[j].IsZero() {
				since[j] = time.Now()
			}
			from := since[j]
			if calm := calmFrom.Add(4 * time.Second); from.Before(calm) {
				from = calm
			}
			if time.Since(from) > 3*time.Second && !told[j] {
				told[j] = true
				w.broken("LOST", "%s has nothing running for 3 s (for %.1f s in all), all is calm since %.1f s; %d of %d thousandths of a core are in use, room for %d of its tasks",
					j.id, time.Since(since[j]).Seconds(), time.Since(calmFrom).Seconds(), used, all, fit)
			}
		}
		if open == 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// suspects: the minion that runs the most tasks crashes, twice in all, and comes back soon. The jobs that were
// there have to go on; most of the pool is free.
func suspects(w *world, trouble bool) {
	w.pools = []string{"p"}
	w.queues = []queue{{name: "q", host: "q.example", prefix: "/q/", pool: "p", maxAttempts: 3, targetMs: 600}}
	w.fleet(3, map[string]int{"p": 4}, room{CPU: 32000, Mem: 131072})
	jobs := []*job{}
	for range 24 {
		j := &job{behave: behaviour{Ms: 15000}, steps: []step{{Count: 1, CPU: 1000, Mem: 100, Est: 15000}}}
		if w.submit(j, 10) {
			jobs = append(jobs, j)
		}
	}
	for range 2 {
		w.awaitAtWork(jobs, 8*time.Second, time.Now().Add(20*time.Second))
		if trouble {
			for _, m := range w.cloud.busy(1) {
				w.cloud.crash(m, 1500*time.Millisecond)
			}
		}
	}
	w.rec.add("all is calm from now on")
	w.watchIdle(jobs, time.Now(), time.Now().Add(85*time.Second))
	states := map[string]int{}
	for _, j := range jobs {
		states[w.state(w.someEntry(), j)]++
	}
	w.rec.add("states: %v", states)
	w.final()
	time.Sleep(100 * time.Millisecond)
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

// awaitAtWork waits until a run of each job has been at work for a time.
func (w *world) awaitAtWork(jobs []*job, worked time.Duration, until time.Time) {
	for time.Now().Before(until) {
		n := 0
		w.mu.Lock()
		for _, j := range jobs {
			for _, runs := range j.runs {
				for _, r := range runs {
					if r.end == 0 && w.rec.ms()-r.start >= worked.Milliseconds() {
						n++
					}
				}
			}
		}
		w.mu.Unlock()
		if n >= len(jobs) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// busy returns the machines whose minions run the most tasks, those that run any, at most n.
func (c *cloud) busy(n int) (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tasks := map[string]int{}
	for _, m := range c.machines {
		if m.state != "up" || m.minion == nil {
			continue
		}
		m.minion.mu.Lock()
		if k := len(m.minion.running); k > 0 {
			tasks[m.name] = k
			names = append(names, m.name)
		}
		m.minion.mu.Unlock()
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(tasks[b], tasks[a]), cmp.Compare(a, b)) })
	return names[:min(n, len(names))]
}
