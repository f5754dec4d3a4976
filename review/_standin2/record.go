package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recordParts is the number of rows over which an owner spreads its record of minions.
const recordParts = 64

// idsInPart returns ids of minions which fall into the same part of the record, or into any other.
func idsInPart(part uint64, same bool) func(hint string) string {
	n := 0
	return func(hint string) string {
		for {
			n++
			id := fmt.Sprintf("%s-%04x", hint, n)
			if (xxhash.Sum64String(id)%recordParts == part) == same {
				return id
			}
		}
	}
}

// playRecord plays the case in which an owner drops a minion from its stored record and then starts tasks there.
func playRecord(w *world, trouble bool) {
	const (
		host, prefix = "jobs.example", "/alpha/"
		pool, spare  = "alpha", "rest"
		part         = 7
	)
	same, other := idsInPart(part, true), idsInPart(part, false)
	w.fleet.spare = spare
	w.fleet.newID = func(m *machine, _ int) string {
		if strings.HasPrefix(m.name, "busy") {
			return other("m-" + m.name)
		}
		return same("m-" + m.name)
	}
	w.writeConfig(1, host, map[string]string{prefix: pool}, []string{pool, spare}, spare)
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i := range 6 {
		w.addEntry(fmt.Sprintf("e%d", i+1), zones[i%3])
	}
	room := resources{CPU: 8000, MemMB: 32768}
	w.fleet.add("light", pool, zones[0], room)
	for i := range 5 {
		w.fleet.add(fmt.Sprintf("busy%d", i+1), pool, zones[i%3], room)
	}
	for i := range 2 {
		w.fleet.add(fmt.Sprintf("off%d", i+1), spare, zones[i%3], room)
	}
	w.await("an owner of "+pool, 15*time.Second, func() bool { return w.owner(pool) != nil })

	// Work for the five busy minions. The sixth alone has room for one small task, which runs longer than guessed.
	w.submit(host, prefix, &job{ID: "00000000000000a1", Spec: "base", Steps: []step{{
		Count: 5, CPU: 4100, MemMB: 17_000, EstimateMs: 60_000, lasts: always(100 * time.Second),
	}}}, w.entries...)
	small := "00000000000000a2"
	w.submit(host, prefix, &job{ID: small, Spec: "small", Steps: []step{{
		Count: 1, CPU: 1000, MemMB: 16_000, EstimateMs: 3000, lasts: always(9 * time.Second),
	}}}, w.entries...)
	light := w.fleet.minionOf("light")
	w.await("the small task at the sixth minion", 3*time.Second, func() bool { return slices.Contains(w.where(small, 0), light.id) })

	// The pool has one machine too many. The system empties the sixth for the spare pool, and gives that up as the task runs on.
	w.await("the system starts to empty the machine", 20*time.Second, func() bool { return w.logged(`"move_planned"`, `"vm":"light"`) })
	time.Sleep(2300 * time.Millisecond)
	burst := "00000000000000a3"
	w.submit(host, prefix, &job{ID: burst, Spec: "burst", Steps: []step{{
		Count: 2, CPU: 5000, MemMB: 100, EstimateMs: 3300, lasts: always(3300 * time.Millisecond),
	}}}, w.entries...)
	w.await("the system gives the move up", 5*time.Second, func() bool { return w.logged(`"move_over"`, `"vm":"light"`) })
	light.finishNow(small + ".0.0.0")
	w.await("two machines come from the spare pool", 5*time.Second, func() bool { return w.fleet.minionOf("off1") != nil && w.fleet.minionOf("off2") != nil })
	w.await("both tasks of the burst run", 5*time.Second, func() bool { return len(w.where(burst, 0))+len(w.where(burst, 1)) == 2 })
	last := "00000000000000a4"
	w.submit(host, prefix, &job{ID: last, Spec: "last", Steps: []step{{
		Count: 1, CPU: 5000, MemMB: 100, EstimateMs: 4000, lasts: always(12 * time.Second),
	}}}, w.entries...)
	long := last + ".0.0.0"
	w.await("the last job at the sixth minion", 8*time.Second, func() bool { return slices.Contains(w.ran.runsAt(long), light.id) })
	w.await("the first task of the burst is done", 5*time.Second, func() bool { return len(w.where(burst, 0))+len(w.where(burst, 1)) < 2 })

	if trouble {
		x := w.owner(pool)
		light.setCut(true)
		x.signal(syscall.SIGKILL)
		time.Sleep(3 * time.Second)
		x.start()
		time.Sleep(2500 * time.Millisecond)
		light.setCut(false)
	}
	w.await("the last job is completed", 40*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		_, answer := w.call(w.entries[0], "GET", host, prefix+last, nil)
		return strings.Contains(answer, "completed")
	})
}

func always(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }

// where returns the minions of a job's task.
func (w *world) where(id string, index int) []string {
	at := w.ran.runsAt(fmt.Sprintf("%s.0.0.%d", id, index))
	slices.Sort(at)
	return at
}
