package main

import "time"

func init() { cases["sharing"] = sharing }

const (
	paceMs  = 100  // pace_ms
	harmMs  = 4000 // harm_ms
	tick    = 50 * time.Millisecond
	ownTail = 0.5 // the tail of a serving task without what fills, as a share of its target
	// disturbs is what one core used by what fills adds to the tail of the serving tasks beside it, as a share of
	// their target.
	disturbs = 0.1
)

// load is the rough figure over the last half second: for a task that serves its tail in ms, otherwise its cpu.
func (r *run) load() int {
	if r.target == 0 {
		return r.need.CPU
	}
	sum := 0.0
	for _, t := range r.tails {
		sum += t
	}
	return int(sum / float64(max(1, len(r.tails))))
}

// share plays what the tasks on a minion share, each tick: what fills works at its pace on the cores that the
// others leave unused, and disturbs what serves.
func (n *minion) share() {
	n.mu.Lock()
	defer n.mu.Unlock()
	free, wanted := float64(n.m.capacity.CPU), 0.0
	fillers := 0
	for _, r := range n.running {
		free -= float64(r.need.CPU)
		if r.fills && !r.stopping {
			wanted += float64(r.percent) / 100 * fillCPU
			fillers++
		}
	}
	used := min(free, wanted)
	for _, r := range n.running {
		switch {
		case r.fills && !r.stopping:
			if wanted > 0 {
				r.worked += time.Duration(float64(tick) * float64(r.percent) / 100 * used / wanted)
			}
			if r.worked >= r.work {
				go n.finish(r, "done")
			}
		case r.target > 0 && time.Since(r.atWork) > 0:
			target := float64(r.target)
			tail := target * (ownTail + disturbs*used/1000)
			r.tails = append(r.tails, tail)
			r.tails = r.tails[max(0, len(r.tails)-10):]
			if tail <= target {
				r.over4 = time.Time{}
				continue
			}
			if r.over4.IsZero() {
				r.over4 = time.Now()
			}
			if time.Since(r.over4) >= harmMs*time.Millisecond && !r.told {
				r.told = true
				n.w.broken("HARM", "%s on %s is over its target of %d ms for %d ms on end, now at %.0f ms; without the %d tasks that fill beside it, which use %.1f cores, it would be at %.0f ms",
					r.task, n.id, r.target, time.Since(r.over4).Milliseconds(), tail, fillers, used/1000, target*ownTail)
			}
		}
	}
}

// fillCPU is the cpu of a task that fills, in thousandths of a core.
const fillCPU = 1000

// sharing: a job that lasts serves users, with a target; then small jobs come that fill.
func sharing(w *world, trouble bool) {
	w.pools = []string{"p"}
	w.queues = []queue{
		{name: "serve", host: "q.example", prefix: "/s/", pool: "p", maxAttempts: 3, targetMs: 2500},
		{name: "fill", host: "q.example", prefix: "/f/", pool: "p", maxAttempts: 3, targetMs: 600, priority: 1},
	}
	w.fleet(3, map[string]int{"p": 3}, room{CPU: 8000, Mem: 16384})
	over := make(chan struct{})
	defer close(over)
	go func() {
		for t := time.NewTicker(tick); ; {
			select {
			case <-over:
				return
			case <-t.C:
			}
			w.cloud.mu.Lock()
			var ns []*minion
			for _, m := range w.cloud.machines {
				if m.minion != nil {
					ns = append(ns, m.minion)
				}
			}
			w.cloud.mu.Unlock()
			for _, n := range ns {
				n.share()
			}
		}
	}()
	j := &job{queue: 0, steps: []step{{Count: 3, CPU: 1000, Mem: 500, LongRunning: true, AntiAffinity: 1, TargetMs: 100, Image: "web"}}}
	if !w.submit(j, 10) {
		w.cannot("the job isn't accepted")
	}
	time.Sleep(4 * time.Second)
	var jobs []*job
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(330 * time.Millisecond) {
		if trouble {
			f := &job{queue: 1, behave: behaviour{Ms: 1000}, steps: []step{{Count: 6, CPU: fillCPU, Mem: 100, Est: 1000, Fills: true, Image: "batch"}}}
			if w.submit(f, 10) {
				jobs = append(jobs, f)
			}
		}
	}
	time.Sleep(8 * time.Second)
	states := map[string]int{}
	for _, f := range jobs {
		states[w.state(w.entries[0], f)]++
	}
	w.rec.add("states of what fills: %v", states)
	w.final()
	time.Sleep(100 * time.Millisecond)
}
