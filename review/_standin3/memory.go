package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["survivor"] = survivor }

const (
	// memoryLimitMB is memory-mb of the settings: the platform kills a process that goes over it.
	memoryLimitMB = 284
	// jobsPerPool is how many jobs are handed in for each pool at most.
	jobsPerPool = 100
	// finish is finish_s.
	finish = 14 * time.Second
)

// residentMB returns the resident memory of a process, 0 if it has ended.
func (e *entry) residentMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// guard kills an entry whenever it goes over its memory, as the platform does, and starts it again 0.5 s later. It
// returns how often that was.
func (w *world) guard(e *entry, stop chan struct{}) (kills int) {
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(20 * time.Millisecond):
		}
		mb := e.residentMB()
		if mb <= memoryLimitMB {
			continue
		}
		kills++
		w.rec.add("platform: %s takes %d MB, of %d; it is killed", e.name, mb, memoryLimitMB)
		e.kill()
		time.Sleep(500 * time.Millisecond)
		if w.closed() {
			return kills
		}
		e.start()
	}
}

// survivor: large jobs come to five pools, as many as the entries accept. Then all entries but one are lost for good.
func survivor(w *world, trouble bool) {
	sizes := map[string]int{}
	for i := range 5 {
		p := fmt.Sprintf("p%d", i)
		w.pools, sizes[p] = append(w.pools, p), 2
		w.queues = append(w.queues, queue{name: "q" + p, host: "q.example", prefix: "/" + p + "/", pool: p, maxAttempts: 3, targetMs: 600})
	}
	w.fleet(6, sizes, room{CPU: 8000, Mem: 16384})
	stop := make(chan struct{})
	kills := make([]int, len(w.entries))
	var guards sync.WaitGroup
	for i, e := range w.entries {
		guards.Go(func() { kills[i] = w.guard(e, stop) })
	}
	var jobs []*job
	var mu sync.Mutex
	var handing sync.WaitGroup
	for q := range w.queues {
		handing.Go(func() {
			for range jobsPerPool {
				j := &job{queue: q, behave: behaviour{Ms: 20000}, steps: []step{{Count: 4000, CPU: 1000, Mem: 100, Est: 20000}}}
				if !w.submit(j, 3) {
					return
				}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}
		})
	}
	handing.Wait()
	w.rec.add("accepted: %d jobs", len(jobs))
	time.Sleep(2 * time.Second)
	for _, e := range w.entries {
		w.rec.add("%s takes %d MB", e.name, e.residentMB())
	}
	last := w.entries[0]
	if trouble {
		for _, e := range w.entries[1:] {
			e.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(finish + 6*time.Second) // and lease-ms twice, for the takeovers
	for i := range 12 {
		j, state := jobs[i*(len(jobs)-1)/11], ""
		for range 2 {
			if state = w.state(last, j); state != "" {
				break
			}
			time.Sleep(time.Second)
		}
		if state == "" {
			w.broken("LOST", "%s gets no answer, %d s after it was accepted", j.id, (w.rec.ms()-j.accepted)/1000)
		}
	}
	close(stop)
	guards.Wait()
	for i, e := range w.entries {
		w.rec.add("%s was killed for its memory %d times", e.name, kills[i])
		if kills[i] > 0 {
			w.broken("Fault", "%s was killed for its memory %d times", e.name, kills[i])
		}
	}
	time.Sleep(100 * time.Millisecond)
}
