package main

import "time"

func init() { cases["crash-loop"] = crashLoop }

// crashLoop: one minion of a pool goes down and up by turns; the others are sound all the time. A job that
// lasts has as many tasks as the pool has minions, one on each. No run of it fails, and nobody cancels it.
func crashLoop(w *world, trouble bool) {
	w.pools = []string{"rooms"}
	w.queues = []queue{{name: "rooms", host: "rooms.example", prefix: "/rooms/", pool: "rooms", maxAttempts: 3, targetMs: 2500}}
	w.fleet(3, map[string]int{"rooms": 5}, room{CPU: 8000, Mem: 16384})
	j := &job{steps: []step{{Count: 5, CPU: 500, Mem: 100, LongRunning: true, AntiAffinity: 1, MayMiss: 1}}, behave: behaviour{Note: "a room that lasts"}}
	if !w.submit(j, 10) {
		w.cannot("the job isn't accepted")
	}
	time.Sleep(12 * time.Second)
	for range 8 {
		if trouble {
			w.cloud.crash("m-rooms-1", 1500*time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		w.state(w.entries[0], j)
	}
	time.Sleep(3 * time.Second)
	for _, e := range w.entries {
		w.state(e, j)
	}
	w.final()
	time.Sleep(100 * time.Millisecond)
}
