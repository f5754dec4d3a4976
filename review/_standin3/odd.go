package main

import (
	"fmt"
	"time"
)

func init() { cases["odd"] = odd }

// odd hands in unusual jobs and looks at whether the others go on.
func odd(w *world, trouble bool) {
	w.pools = []string{"p"}
	w.queues = []queue{{name: "q", host: "q.example", prefix: "/q/", pool: "p", maxAttempts: 3, targetMs: 600}}
	w.fleet(3, map[string]int{"p": 6}, room{CPU: 8000, Mem: 16384})
	chain := []step{}
	for i := range 400 {
		s := step{Count: 2, CPU: 100, Mem: 10}
		if i > 0 {
			s.After = []int{i - 1}
		}
		chain = append(chain, s)
	}
	now := time.Now().UnixMilli()
	jobs := []*job{
		{behave: behaviour{Ms: 300}, steps: []step{{Count: 1, CPU: 100}}, times: 1_000_000, delayMs: 0, interval: 1},
		{behave: behaviour{Ms: 300}, steps: []step{{Count: 1, CPU: 100}}, times: 1_000_000_000, delayMs: now, interval: 1},
		{behave: behaviour{Ms: 300}, steps: []step{{Count: 4, CPU: 100, Gang: true}}, times: 100_000, delayMs: now - 1_000_000, interval: 10},
		{behave: behaviour{Ms: 300}, steps: chain},
		{behave: behaviour{Ms: 300}, steps: []step{{Count: 4096, CPU: 100}}},
		{behave: behaviour{Ms: 300}, steps: []step{{Count: 4000, CPU: 100, Gang: true}}},
		{behave: behaviour{Ms: 300}, steps: []step{{Count: 2, CPU: 100}}, times: 5, delayMs: now, interval: 0},
		{behave: behaviour{Ms: 300}, steps: []step{{Count: 2, CPU: 100, After: []int{1}}, {Count: 2, CPU: 100}}},
		{behave: behaviour{Ms: 300}, steps: []step{{Count: 0, CPU: 100}}},
		{behave: behaviour{Ms: 300}, steps: nil},
		{behave: behaviour{Ms: 300}, steps: []step{{Count: 2, CPU: 0}}},
		{behave: behaviour{Ms: 300}, steps: []step{{Count: 300, CPU: 100, LongRunning: true}}, times: 3, delayMs: now, interval: 1000},
	}
	for i, j := range jobs {
		ok := w.submit(j, 3)
		w.rec.add("odd job %d: %s accepted %v", i, j.id, ok)
		fmt.Println(i, j.id, ok)
	}
	for range 20 {
		j := &job{behave: behaviour{Ms: 200}, steps: []step{{Count: 2, CPU: 100, Est: 200}}}
		w.submit(j, 3)
		time.Sleep(2 * time.Second)
		s := w.state(w.someEntry(), j)
		w.rec.add("plain job: %s", s)
		fmt.Print(s, " ")
		for _, e := range w.entries {
			fmt.Print(e.memoryMB(), " ")
		}
		fmt.Println()
	}
	for i, j := range jobs {
		fmt.Println(i, w.state(w.someEntry(), j))
		w.cancel(w.someEntry(), j)
	}
	time.Sleep(5 * time.Second)
	w.final()
}
