package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["absent"] = absent }

// memoryMB returns the peak of a process' resident memory.
func (e *entry) memoryMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// absent: many clients ask for the state of jobs that are not there, while the store is slow.
func absent(w *world, trouble bool) {
	w.pools = []string{"p"}
	w.queues = []queue{{name: "q", host: "q.example", prefix: "/q/", pool: "p", maxAttempts: 3, targetMs: 600}}
	w.fleet(3, map[string]int{"p": 6}, room{CPU: 32000, Mem: 131072})
	var wg sync.WaitGroup
	gate := make(chan bool, 20)
	for range 400 {
		wg.Add(1)
		gate <- true
		go func() {
			defer wg.Done()
			j := &job{behave: behaviour{Note: strings.Repeat("x", 3900)}, steps: []step{{Count: 2, CPU: 100, Mem: 10}}, times: 2, delayMs: time.Now().UnixMilli() + 3_600_000, interval: 1000}
			w.submit(j, 10)
			<-gate
		}()
	}
	wg.Wait()
	for _, e := range w.entries {
		w.rec.add("%s: %d MB", e.name, e.memoryMB())
	}
	if trouble {
		w.store.setFault(func(string, string) (action, time.Duration) { return pass, 240 * time.Millisecond })
	}
	n, _ := strconv.Atoi(os.Getenv("N"))
	if n == 0 {
		n = 300
	}
	for range 3 {
		for range n {
			wg.Add(1)
			go func() {
				defer wg.Done()
				w.call(w.entries[rand.IntN(3)], "GET", w.queues[0], newID(), nil)
			}()
		}
		wg.Wait()
		for _, e := range w.entries {
			w.rec.add("%s: %d MB", e.name, e.memoryMB())
			fmt.Println(e.name, e.memoryMB(), "MB")
		}
	}
}
