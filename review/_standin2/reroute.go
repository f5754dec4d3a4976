package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playReroute plays the case in which a configuration names another service for a queue that has jobs.
func playReroute(w *world, trouble bool) {
	const host, prefix, before, after = "jobs.example", "/queue/", "alpha", "beta"
	n := 0
	w.fleet.newID = func(m *machine, _ int) string { n++; return fmt.Sprintf("m-%s-%04x", m.name, n) }
	services := []string{before, after}
	w.writeConfig(1, host, map[string]string{prefix: before}, services, "")
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i := range 6 {
		w.addEntry(fmt.Sprintf("e%d", i+1), zones[i%3])
	}
	for _, pool := range services {
		for i := range 4 {
			w.fleet.add(fmt.Sprintf("%s%d", pool, i+1), pool, zones[i%3], resources{CPU: 8000, MemMB: 32768})
		}
	}
	w.await("owners of both pools", 15*time.Second, func() bool { return w.owner(before) != nil && w.owner(after) != nil })
	time.Sleep(time.Second)

	id := "00000000000000b1"
	w.submit(host, prefix, &job{ID: id, Spec: "first", Steps: []step{{
		Count: 2, CPU: 1000, MemMB: 100, EstimateMs: 9000, lasts: always(9 * time.Second),
	}}}, w.entries...)
	w.await("the job runs", 5*time.Second, func() bool { return len(w.ran.runsAt(id+".0.0.0")) == 1 })
	time.Sleep(4 * time.Second) // more than visible_ms after the acknowledgement
	if trouble {
		w.writeConfig(2, host, map[string]string{prefix: after}, services, "")
	}
	time.Sleep(3 * time.Second) // more than config-apply-ms after the acknowledgement
	for _, e := range w.entries {
		if status, _ := w.call(e, "GET", host, prefix+id, nil); status == http.StatusGone {
			w.ran.fail("LOST: entry %s answers 410 to a GET for the accepted job %s that nobody has cancelled", e.name, id)
		}
	}
	// The client hands the job in again, as now and then also seconds after its 2xx: it remains one job.
	w.call(w.entries[0], "POST", host, prefix+id, w.jobs.jobs[id])
	time.Sleep(15 * time.Second)
	for _, e := range w.entries {
		if status, answer := w.call(e, "GET", host, prefix+id, nil); status == http.StatusOK && !strings.Contains(answer, "completed") {
			w.ran.fail("LOST: the job %s is not completed: %s", id, answer)
		}
	}
}
