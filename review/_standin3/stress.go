package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["stress"] = stress }

// fleet lays out entries, pools and queues.
func (w *world) fleet(entries int, sizes map[string]int, capacity room) {
	for i := range entries {
		w.addEntry([]string{"a", "b", "c"}[i%3])
	}
	for _, pool := range w.pools {
		for i := range sizes[pool] {
			w.cloud.add(&machine{name: fmt.Sprintf("m-%s-%d", pool, i), pool: pool, zone: []string{"a", "b", "c"}[i%3], rack: fmt.Sprintf("r-%s-%d", pool, i/2), kind: []string{"x", "y"}[i%2], capacity: capacity})
		}
	}
	w.writeConfig()
	w.startAll()
	time.Sleep(3 * time.Second)
}

func (w *world) someEntry() *entry { return w.entries[rand.IntN(len(w.entries))] }

func (w *world) someMachine(pool string) *machine {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for {
		m := w.cloud.machines[rand.IntN(len(w.cloud.machines))]
		if m.minion != nil && (pool == "" || m.pool == pool) {
			return m
		}
	}
}

// stress mixes all kinds of jobs with a theme of disruptions, to look for faults.
func stress(w *world, trouble bool) {
	themes := strings.Split(os.Getenv("THEMES"), ",")
	w.pools = []string{"p0", "p1"}
	w.queues = []queue{
		{name: "q0", host: "q.example", prefix: "/a/", pool: "p0", maxAttempts: 3, targetMs: 600},
		{name: "q1", host: "q.example", prefix: "/b/", pool: "p1", maxAttempts: 3, targetMs: 600, priority: 1},
		{name: "q2", host: "q.example", prefix: "/c/", pool: "p0", maxAttempts: 3, targetMs: 600, priority: 2},
	}
	cpu, _ := strconv.Atoi(os.Getenv("CAP"))
	if cpu == 0 {
		cpu = 8000
	}
	w.unguarded = os.Getenv("GUARD") == "0"
	if os.Getenv("SPARE") != "" {
		w.pools, w.spare = append(w.pools, "spare"), "spare"
	}
	w.fleet(3, map[string]int{"p0": 6, "p1": 6, "spare": 4}, room{CPU: cpu, Mem: 16384})
	jobs := []*job{}
	end := time.Now().Add(45 * time.Second)
	for q := range 6 {
		long := &job{queue: q % 3, steps: []step{{Count: 3 + q%3, CPU: 500, Mem: 100, LongRunning: true, AntiAffinity: 1 + q/4, MayMiss: 1}}}
		w.submit(long, 5)
	}
	calm, over := make(chan struct{}), make(chan struct{})
	defer close(over)
	if os.Getenv("IDLE") != "" {
		go w.watchAll(over)
	}
	if trouble {
		go func() {
			defer close(calm)
			for time.Now().Before(end) {
				time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
				w.disturb(themes[rand.IntN(len(themes))])
			}
			w.store.setFault(nil)
			w.cloud.setFault(nil)
		}()
	} else {
		close(calm)
	}
	for time.Now().Before(end) {
		j := w.randomJob()
		go func() {
			if w.submit(j, 12) {
				w.mu.Lock()
				jobs = append(jobs, j)
				w.mu.Unlock()
				if rand.IntN(4) == 0 {
					go func() {
						time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
						w.call(w.someEntry(), "POST", w.queues[j.queue], j.id, j.body)
					}()
				}
				if rand.IntN(6) == 0 {
					time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
					for range 10 {
						if w.cancel(w.someEntry(), j) {
							break
						}
						time.Sleep(300 * time.Millisecond)
					}
				}
			}
		}()
		if rand.IntN(4) == 0 && len(jobs) > 0 {
			go func() {
				w.mu.Lock()
				j := jobs[rand.IntN(len(jobs))]
				w.mu.Unlock()
				if s := w.state(w.someEntry(), j); s == "410" && j.cancelSent == 0 {
					w.broken("LOST", "%s: 410", j.id)
				}
			}()
		}
		time.Sleep(150 * time.Millisecond)
	}
	<-calm
	time.Sleep(24 * time.Second)
	w.mu.Lock()
	all := append([]*job(nil), jobs...)
	w.mu.Unlock()
	states := map[string]int{}
	for _, j := range all {
		s := ""
		for range 5 {
			if s = w.state(w.someEntry(), j); s != "" {
				break
			}
		}
		states[s]++
		switch {
		case s == "completed", s == "failed", j.cancelSent > 0 && (s == "cancelled" || s == "410"):
		default:
			w.broken("LOST", "%s is %q at the end", j.id, s)
		}
	}
	w.mu.Lock()
	for _, j := range all {
		for task, runs := range j.runs {
			for _, r := range runs {
				if r.end == 0 && (j.cancelAck > 0 || j.state == "completed" || j.state == "failed") {
					w.broken("UNASKED", "%s run %d is still on %s, its job is %s", task, r.id, r.minion, j.state)
				}
			}
		}
	}
	w.mu.Unlock()
	fmt.Println(states)
	w.final()
	time.Sleep(200 * time.Millisecond)
}

func (w *world) randomJob() *job {
	j := &job{queue: rand.IntN(3), behave: behaviour{Ms: 300 + rand.IntN(1200), Fail: 0.08}}
	cp := rand.IntN(2) == 0
	switch rand.IntN(6) {
	case 0:
		j.steps = []step{{Count: 3, CPU: 1000, Mem: 200, Est: 500, Checkpointing: cp}, {Count: 2, CPU: 1000, Mem: 200, Est: 500, After: []int{0}}}
	case 1:
		j.steps = []step{{Count: 2 + rand.IntN(4), CPU: 1000, Mem: 200, Est: 500, Gang: true, SameRack: rand.IntN(2) == 0, Checkpointing: cp}}
	case 2:
		j.steps = []step{{Count: 2, CPU: 1000, Mem: 200, Est: 500, Requires: "x", Checkpointing: cp}}
	case 3:
		j.steps = []step{{Count: 2, CPU: 500, Mem: 200, Est: 500, Gang: rand.IntN(3) == 0}}
		j.times, j.delayMs, j.interval = 4, time.Now().UnixMilli()+500, 1000+rand.Int64N(1000)
	case 4:
		j.steps = []step{{Count: 3, CPU: 500, Mem: 200, Est: 500, Gang: true}, {Count: 3, CPU: 1000, Mem: 200, Est: 500, After: []int{0}, AntiAffinity: 1}, {Count: 2, CPU: 1000, Mem: 200, Est: 500, After: []int{1}, Gang: true, Checkpointing: true}}
	case 5:
		j.steps = []step{{Count: 8, CPU: 1500, Mem: 200, Est: 500, Checkpointing: cp, AntiAffinity: 2}}
	}
	return j
}

// disturb plays one disruption of a theme.
func (w *world) disturb(theme string) {
	switch theme {
	case "kill":
		e := w.someEntry()
		e.kill()
		time.Sleep(time.Duration(300+rand.IntN(1500)) * time.Millisecond)
		e.start()
	case "term":
		e := w.someEntry()
		e.signal(syscall.SIGTERM)
		select {
		case <-e.exited:
		case <-time.After(8 * time.Second):
			w.broken("Fault", "%s doesn't end", e.name)
			e.kill()
		}
		time.Sleep(500 * time.Millisecond)
		e.start()
	case "herd":
		for _, e := range w.entries {
			e.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, e := range w.entries {
			e.start()
		}
	case "freeze":
		e := w.someEntry()
		e.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(1000+rand.IntN(6000)) * time.Millisecond)
		e.signal(syscall.SIGCONT)
	case "crash":
		w.cloud.crash(w.someMachine("").name, time.Duration(500+rand.IntN(4000))*time.Millisecond)
	case "late":
		m := w.someMachine("")
		w.cloud.mu.Lock()
		n := m.minion
		w.cloud.mu.Unlock()
		n.mu.Lock()
		n.late = func(string) (time.Duration, bool) {
			return time.Duration(2000+rand.IntN(8000)) * time.Millisecond, rand.IntN(2) == 0
		}
		n.mu.Unlock()
		w.rec.add("minion %s carries orders out late", n.id)
		time.AfterFunc(5*time.Second, func() {
			n.mu.Lock()
			n.late = nil
			n.mu.Unlock()
			w.rec.add("minion %s is sound again", n.id)
		})
	case "deaf":
		m := w.someMachine("")
		w.cloud.mu.Lock()
		n := m.minion
		w.cloud.mu.Unlock()
		n.mu.Lock()
		n.deaf = true
		n.mu.Unlock()
		w.rec.add("minion %s is cut off", n.id)
		time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() {
			n.mu.Lock()
			n.deaf = false
			n.mu.Unlock()
			w.rec.add("minion %s is reached again", n.id)
		})
	case "lost":
		w.rec.add("store: answers of writes are lost")
		w.store.setFault(func(_, path string) (action, time.Duration) {
			if strings.HasPrefix(path, "POST") && rand.IntN(10) < 4 {
				return []action{loseAfter, muted}[rand.IntN(2)], 0
			}
			return pass, 0
		})
		time.Sleep(4 * time.Second)
		w.store.setFault(nil)
	case "lostlate":
		w.rec.add("store: writes are done late and not answered")
		w.store.setFault(func(_, path string) (action, time.Duration) {
			if strings.HasPrefix(path, "POST") && rand.IntN(10) < 3 {
				return muted, time.Duration(1000+rand.IntN(5000)) * time.Millisecond
			}
			return pass, 0
		})
		time.Sleep(4 * time.Second)
		w.store.setFault(nil)
	case "slow":
		w.rec.add("store: slow")
		w.store.setFault(func(string, string) (action, time.Duration) { return pass, 240 * time.Millisecond })
		time.Sleep(5 * time.Second)
		w.store.setFault(nil)
	case "down":
		a := []action{refuse, silent, loseBefore}[rand.IntN(3)]
		w.rec.add("store: down (%d)", a)
		w.store.setFault(func(string, string) (action, time.Duration) { return a, 0 })
		time.Sleep(4 * time.Second)
		w.store.setFault(nil)
	case "cut":
		e := w.someEntry()
		a := []action{refuse, silent, loseBefore}[rand.IntN(3)]
		w.rec.add("store: turns %s away (%d)", e.name, a)
		w.store.setFault(func(entry, _ string) (action, time.Duration) {
			if entry == e.name {
				return a, 0
			}
			return pass, 0
		})
		time.Sleep(time.Duration(2000+rand.IntN(5000)) * time.Millisecond)
		w.store.setFault(nil)
	case "compact":
		w.rec.add("store: forgets its history")
		w.store.compact()
	case "config":
		w.mu.Lock()
		q := 1 + rand.IntN(2)
		w.queues[q].maxAttempts = 2 + rand.IntN(3)
		w.queues[q].targetMs = 500 + rand.IntN(500)
		w.mu.Unlock()
		w.writeConfig()
	case "drain":
		m := w.someMachine("")
		w.cloud.mu.Lock()
		n, up := m.minion, m.state == "up"
		w.cloud.mu.Unlock()
		if up && !n.isDraining() {
			after := time.Duration(3000+rand.IntN(4000)) * time.Millisecond
			n.drain(after)
			time.AfterFunc(after, func() { w.cloud.crash(m.name, 2*time.Second) })
		}
	case "shed":
		m := w.someMachine("")
		w.cloud.mu.Lock()
		n := m.minion
		w.cloud.mu.Unlock()
		n.mu.Lock()
		n.sheds = 0.4
		n.mu.Unlock()
		time.AfterFunc(5*time.Second, func() {
			n.mu.Lock()
			n.sheds = 0
			n.mu.Unlock()
		})
	case "cdown":
		a := []action{refuse, silent, loseBefore}[rand.IntN(3)]
		w.rec.add("cloud: down (%d)", a)
		w.cloud.setFault(func(string, string) (action, time.Duration) { return a, 0 })
		time.Sleep(time.Duration(1000+rand.IntN(4000)) * time.Millisecond)
		w.cloud.setFault(nil)
	case "clost":
		w.rec.add("cloud: answers are lost")
		w.cloud.setFault(func(_, path string) (action, time.Duration) {
			if strings.HasPrefix(path, "POST") && rand.IntN(2) == 0 {
				return []action{loseAfter, muted}[rand.IntN(2)], 0
			}
			return pass, 0
		})
		time.Sleep(5 * time.Second)
		w.cloud.setFault(nil)
	case "cslow":
		w.rec.add("cloud: slow")
		w.cloud.setFault(func(string, string) (action, time.Duration) { return pass, 240 * time.Millisecond })
		time.Sleep(5 * time.Second)
		w.cloud.setFault(nil)
	case "drop":
		w.mu.Lock()
		w.queues[2].dropped = true
		w.mu.Unlock()
		w.writeConfig()
		time.Sleep(time.Duration(1000+rand.IntN(7000)) * time.Millisecond)
		w.mu.Lock()
		w.queues[2].dropped = false
		w.mu.Unlock()
		w.writeConfig()
	case "prefix":
		w.mu.Lock()
		w.queues[2].name = fmt.Sprintf("q2-%d", rand.IntN(1000))
		w.mu.Unlock()
		w.writeConfig()
	case "priority":
		w.mu.Lock()
		for i := range w.queues {
			w.queues[i].priority = rand.IntN(3)
		}
		w.mu.Unlock()
		w.writeConfig()
	case "move":
		w.mu.Lock()
		q := &w.queues[2]
		q.formerPools = append(q.formerPools, q.pool)
		q.pool = map[string]string{"p0": "p1", "p1": "p0"}[q.pool]
		w.mu.Unlock()
		w.writeConfig()
	case "wave":
		w.mu.Lock()
		n := 1
		for {
			if _, ok := w.store.get("op", fmt.Sprintf("wave/%d", n)); !ok {
				break
			}
			n++
		}
		w.mu.Unlock()
		if n > 7 {
			return
		}
		names, used := []string{}, []string{}
		for k := 1; k < n; k++ {
			v, _ := w.cloud.wave(k)
			used = append(used, v.Machines...)
		}
		for range 12 {
			if m := w.someMachine(""); len(names) < 4 && !has(names, m.name) && !has(used, m.name) {
				names = append(names, m.name)
			}
		}
		if len(names) == 0 {
			return
		}
		w.writeWave(waveRow{Wave: n, Machines: names, WithinS: 26, MaxCount: 1 + rand.IntN(2)})
		go w.cloud.awaitWaves(time.Now().Add(60*time.Second), n)
	}
}
