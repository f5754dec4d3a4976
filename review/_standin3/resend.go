package main

import (
	"fmt"
	"time"
)

func init() { cases["resent-stop"] = resentStop }

// resentStop: a machine is due for upkeep, and a task of a lasting job is to be stopped there. The minion is cut off
// for a moment before that order comes, and another minion with a task of the job begins to drain.
func resentStop(w *world, trouble bool) {
	w.pools = []string{"rooms"}
	w.queues = []queue{{name: "rooms", host: "rooms.example", prefix: "/rooms/", pool: "rooms", maxAttempts: 3, targetMs: 2500}}
	w.fleet(3, map[string]int{"rooms": 8}, room{CPU: 8000, Mem: 16384})
	j := &job{steps: []step{{Count: 5, CPU: 500, Mem: 100, LongRunning: true, AntiAffinity: 1, MayMiss: 1}}, behave: behaviour{Note: "a room that lasts"}}
	if !w.submit(j, 10) {
		w.cannot("the job isn't accepted")
	}
	time.Sleep(8 * time.Second)
	host := func(index int) *machine {
		task := fmt.Sprintf("%s.0.0.%d", j.id, index)
		w.mu.Lock()
		id := ""
		for _, r := range j.runs[task] {
			if r.end == 0 {
				id = r.minion
			}
		}
		w.mu.Unlock()
		w.cloud.mu.Lock()
		defer w.cloud.mu.Unlock()
		for _, m := range w.cloud.machines {
			if m.minion.id == id {
				return m
			}
		}
		w.cannot("%s runs nowhere", task)
		return nil
	}
	const cutFor = 1100 * time.Millisecond
	due, leaving := host(0), host(1)
	n, l := due.minion, leaving.minion
	if trouble {
		n.mu.Lock()
		n.onStop = func() {
			n.mu.Lock()
			n.deaf = true
			n.mu.Unlock()
			w.rec.add("minion %s is cut off for %s", n.id, cutFor)
			time.AfterFunc(cutFor, func() {
				n.mu.Lock()
				n.deaf = false
				n.mu.Unlock()
				w.rec.add("minion %s is reached again", n.id)
			})
			l.drain(2 * time.Second)
			time.AfterFunc(2*time.Second, func() { w.cloud.crash(leaving.name, -1) })
		}
		n.mu.Unlock()
	}
	w.writeWave(waveRow{Wave: 1, Machines: []string{due.name}, WithinS: 26, MaxCount: 1})
	time.Sleep(10 * time.Second)
	w.final()
	time.Sleep(100 * time.Millisecond)
}
