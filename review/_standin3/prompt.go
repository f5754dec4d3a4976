package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["prompt"] = prompt }

// prompt hands small jobs in once each, with short deadlines, and cancels half of the accepted ones at once.
func prompt(w *world, trouble bool) {
	themes := strings.Split(os.Getenv("THEMES"), ",")
	w.pools = []string{"p0", "p1"}
	w.queues = []queue{
		{name: "q0", host: "q.example", prefix: "/a/", pool: "p0", maxAttempts: 3, targetMs: 600},
		{name: "q1", host: "q.example", prefix: "/b/", pool: "p1", maxAttempts: 3, targetMs: 600, priority: 1},
		{name: "q2", host: "q.example", prefix: "/c/", pool: "p0", maxAttempts: 3, targetMs: 600, priority: 2},
	}
	w.fleet(3, map[string]int{"p0": 4, "p1": 4}, room{CPU: 16000, Mem: 65536})
	end := time.Now().Add(50 * time.Second)
	calm := make(chan struct{})
	go func() {
		defer close(calm)
		for trouble && time.Now().Before(end) {
			time.Sleep(time.Duration(300+rand.IntN(1500)) * time.Millisecond)
			w.disturb(themes[rand.IntN(len(themes))])
		}
		w.store.setFault(nil)
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for time.Now().Before(end) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			j := &job{queue: rand.IntN(3), behave: behaviour{Ms: 800 + rand.IntN(4000)}, steps: []step{{Count: 1 + rand.IntN(2), CPU: 50, Mem: 10, Est: 800}}}
			if rand.IntN(4) == 0 {
				j.steps = append(j.steps, step{Count: 2, CPU: 50, Mem: 10, Est: 800, After: []int{0}})
			}
			j.deadlineMs = []int{30, 100, 300, 1000, 3000}[rand.IntN(5)]
			ok := w.submit(j, 1)
			mu.Lock()
			counts[fmt.Sprintf("accepted %v rejected %v", ok, j.rejected)]++
			mu.Unlock()
			if ok && rand.IntN(2) == 0 {
				for range 15 {
					if w.cancel(w.someEntry(), j) {
						break
					}
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	<-calm
	time.Sleep(15 * time.Second)
	fmt.Println(counts)
	w.mu.Lock()
	all := []*job{}
	for _, j := range w.jobs {
		all = append(all, j)
	}
	w.mu.Unlock()
	for _, j := range all {
		if j.accepted > 0 && j.cancelSent == 0 {
			s := ""
			for range 5 {
				if s = w.state(w.someEntry(), j); s != "" {
					break
				}
			}
			if s != "completed" {
				w.broken("LOST", "%s is %q at the end", j.id, s)
			}
		}
	}
	w.final()
	time.Sleep(200 * time.Millisecond)
}
