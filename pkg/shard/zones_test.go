package shard_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
)

// evacuateBound is how long after a zone was taken out of use a task may still start there; a
// start may be carried out 3 s after it was ordered.
const evacuateBound = 5 * time.Second

// zones are the availability zones that workers are in, and those that are out of use.
type zones struct {
	mu  sync.Mutex // apart from the estate's, since owners ask while they hold their own lock
	vms map[string]string
	out map[string]time.Time // since when
	// mishear is how an entry takes what it is told, nil for as it is.
	mishear func(told func(zone string) bool) func(zone string) bool
}

// put notes the zone of a VM.
func (z *zones) put(vm, zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.vms == nil {
		z.vms, z.out = map[string]string{}, map[string]time.Time{}
	}
	z.vms[vm] = zone
}

func (z *zones) of(vm string) string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.vms[vm]
}

func (z *zones) takeOut(zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if _, out := z.out[zone]; !out {
		z.out[zone] = time.Now()
	}
}

func (z *zones) takeBack(zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.out, zone)
}

// outAt tells for how long the zone of a boot's VM, which is called as its first boot was, has
// been out of use.
func (z *zones) outAt(boot string) (zone string, since time.Duration, out bool) {
	vm, _, _ := strings.Cut(boot, "-")
	vm, _, _ = strings.Cut(vm, "@")
	zone = z.of(vm)
	z.mu.Lock()
	defer z.mu.Unlock()
	at, out := z.out[zone]
	return zone, time.Since(at), out
}

// toldTo is what an entry is told of the zones that are out of use.
func (z *zones) toldTo(string) func(zone string) bool {
	told := func(zone string) bool {
		z.mu.Lock()
		defer z.mu.Unlock()
		_, out := z.out[zone]
		return out
	}
	if z.mishear != nil {
		return z.mishear(told)
	}
	return told
}

// evacuations plays zones that are taken out of use and back, one or both, while the owner is
// replaced, handed over or usurped, orders and transactions are lost or late, and workers crash;
// some jobs run at set times.
func evacuations(plant func(*estate)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newMachine(t, plant)
		e := m.e
		defer e.close()
		for i, vm := range []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"} {
			e.zones.put(vm, []string{"z1", "z2"}[i%2])
		}
		m.bootAll(4)
		m.takeOver()
		kinds := []func(){m.submit, m.scheduled, m.lasting, m.takeZoneOut, m.takeZoneOut, m.takeZoneBack, m.crash, m.takeOver, m.handOver, m.usurp, m.orderFault, m.rowFault, m.heal}
		for range rapid.IntRange(4, 16).Draw(t, "steps") {
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
			m.rest(1, 1500, "pause")
		}
		m.rest(1, 9000, "until zones are back")
		e.zones.takeBack("z1")
		e.zones.takeBack("z2")
		m.settle()
	}
}

// scheduled hands in a job that runs at set times.
func (m *machine) scheduled() {
	m.e.schedule = schedule{times: rapid.IntRange(1, 5).Draw(m.t, "times"), interval: time.Duration(rapid.IntRange(100, 1500).Draw(m.t, "interval")) * time.Millisecond}
	m.submit()
	m.e.schedule = schedule{}
}

// lasting hands in a long-running task, which starts again wherever it ends, and is cancelled in the end.
func (m *machine) lasting() {
	m.jobs++
	m.send(jobID(m.jobs), rapid.SampledFrom([]string{"2x1000/0s+miss:1", "1x500/0s"}).Draw(m.t, "text"))
	id := jobID(m.jobs)
	delete(m.accepted, id) // it has no end of its own
}

func (m *machine) takeZoneOut() {
	m.e.zones.takeOut(rapid.SampledFrom([]string{"z1", "z2"}).Draw(m.t, "zone"))
}

func (m *machine) takeZoneBack() {
	m.e.zones.takeBack(rapid.SampledFrom([]string{"z1", "z2"}).Draw(m.t, "zone"))
}

// TestEvacuations holds the promises while zones are out of use: nothing starts there.
func TestEvacuations(t *testing.T) { prop.Check(t, evacuations(nil)) }

// TestEvacuationsFindsPlanted shows that it finds an owner that is told of no zone, and one that
// knows only of those that were out of use when it took over.
func TestEvacuationsFindsPlanted(t *testing.T) {
	for name, mishear := range map[string]func(told func(string) bool) func(string) bool{
		"not told": func(func(string) bool) func(string) bool {
			return func(string) bool { return false }
		},
		"told at the takeover only": func(told func(string) bool) func(string) bool {
			known := map[string]bool{"z1": told("z1"), "z2": told("z2")}
			return func(zone string) bool { return known[zone] }
		},
	} {
		t.Run(name, func(t *testing.T) {
			plant := func(e *estate) { e.zones.mishear = mishear }
			qt.Assert(t, prop.FindsFailure(t, evacuations(plant)), qt.IsTrue)
		})
	}
}
