package main

import (
	"fmt"
	"strings"
	"time"
)

// Times of the crashes: one minion at a time, all in turn.
const (
	crashes    = 24
	crashEvery = 2 * time.Second
	downFor    = 4500 * time.Millisecond
)

// playRooms plays the case in which minions crash one after the other under a job whose tasks last.
func playRooms(w *world, trouble bool) {
	const host, prefix, pool = "jobs.example", "/rooms/", "classes"
	n := 0
	w.fleet.newID = func(m *machine, _ int) string { n++; return fmt.Sprintf("m-%s-%04x", m.name, n) }
	w.writeConfig(1, host, map[string]string{prefix: pool}, []string{pool}, "")
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i := range 6 {
		w.addEntry(fmt.Sprintf("e%d", i+1), zones[i%3])
	}
	const size = 8
	for i := range size {
		w.fleet.add(fmt.Sprintf("class%d", i+1), pool, zones[i%3], resources{CPU: 32_000, MemMB: 131_072})
	}
	w.await("an owner of the pool", 15*time.Second, func() bool { return w.owner(pool) != nil })
	time.Sleep(time.Second)

	var rooms []string
	for i := range 6 {
		one := 1
		id := fmt.Sprintf("00000000000000c%x", i+1)
		rooms = append(rooms, id)
		w.submit(host, prefix, &job{ID: id, Spec: "room", Steps: []step{{
			Count: 5, CPU: 2600, MemMB: 13_000, LongRunning: true, MaxPerMinion: 1, MayMiss: &one, Image: "room", TargetMs: 200, lasts: always(time.Hour),
		}}}, w.entries...)
	}
	time.Sleep(3 * time.Second)
	for i := range crashes {
		if trouble {
			w.fleet.crash(fmt.Sprintf("class%d", i%size+1), downFor)
		}
		time.Sleep(crashEvery)
	}
	time.Sleep(downFor + 3*time.Second)
	for _, id := range rooms {
		if _, answer := w.call(w.entries[0], "GET", host, prefix+id, nil); strings.Contains(answer, "failed") {
			w.ran.fail("LOST: job %s, whose tasks last, is reported as failed; nobody has cancelled it, and no task of it has ended failed", id)
		}
	}
}
