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

// evacuateBound is how long after a zone was evacuated a task may still start there;
// starts may take effect that much later than ordered.
const evacuateBound = 5 * time.Second

// zones holds the availability zones of VMs and the evacuated zones, which are out of use.
type zones struct {
	mu        sync.Mutex // separate from the cluster's, since owners ask while holding their own lock
	vms       map[string]string
	evacuated map[string]time.Time // evacuated zones, with the start of the evacuation
	// wrapReport alters what an entry learns of zones, to inject a bug; nil for unaltered.
	wrapReport func(zoneEvacuated func(zone string) bool) func(zone string) bool
}

// put sets the zone of a VM.
func (z *zones) put(vm, zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.vms == nil {
		z.vms, z.evacuated = map[string]string{}, map[string]time.Time{}
	}
	z.vms[vm] = zone
}

func (z *zones) of(vm string) string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.vms[vm]
}

func (z *zones) evacuate(zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if _, out := z.evacuated[zone]; !out {
		z.evacuated[zone] = time.Now()
	}
}

func (z *zones) restore(zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.evacuated, zone)
}

// evacuatedSince returns the zone of a boot's VM, which is named like its first boot, and for how long
// it has been evacuated.
func (z *zones) evacuatedSince(boot string) (zone string, since time.Duration, out bool) {
	vm, _, _ := strings.Cut(boot, "-")
	vm, _, _ = strings.Cut(vm, "@")
	zone = z.of(vm)
	z.mu.Lock()
	defer z.mu.Unlock()
	at, out := z.evacuated[zone]
	return zone, time.Since(at), out
}

// reportTo returns the function by which an entry learns the evacuated zones.
func (z *zones) reportTo(string) func(zone string) bool {
	zoneEvacuated := func(zone string) bool {
		z.mu.Lock()
		defer z.mu.Unlock()
		_, out := z.evacuated[zone]
		return out
	}
	if z.wrapReport != nil {
		return z.wrapReport(zoneEvacuated)
	}
	return zoneEvacuated
}

// evacuations evacuates and restores zones while the owner is replaced, calls are
// lost or late, and workers crash or turn cold; some jobs are scheduled.
func evacuations(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newScenario(t, inject)
		e := m.e
		defer e.close()
		for i, vm := range []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"} {
			e.zones.put(vm, []string{"z1", "z2"}[i%2])
		}
		m.bootAll(4)
		m.takeOver()
		kinds := []func(){m.submit, m.submitScheduled, m.submitLongRunning, m.takeZoneOut, m.takeZoneOut, m.takeZoneBack, m.turnCold, m.crash, m.takeOver, m.handOver, m.startConcurrentOwner, m.orderFault, m.rowFault, m.clearFaults}
		for range rapid.IntRange(4, 16).Draw(t, "steps") {
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
			m.pause(1, 1500, "pause")
		}
		m.pause(1, 9000, "until zones are back")
		e.zones.restore("z1")
		e.zones.restore("z2")
		m.finish()
	}
}

// submitScheduled submits a job that runs at set times.
func (m *scenario) submitScheduled() {
	m.e.schedule = schedule{times: rapid.IntRange(1, 5).Draw(m.t, "times"), interval: time.Duration(rapid.IntRange(100, 1500).Draw(m.t, "interval")) * time.Millisecond}
	m.submit()
	m.e.schedule = schedule{}
}

// submitLongRunning submits a job of long-running tasks, which restart wherever they end.
func (m *scenario) submitLongRunning() {
	m.jobs++
	m.submitJob(jobID(m.jobs), rapid.SampledFrom([]string{"2x1000/0s+miss:1", "1x500/0s"}).Draw(m.t, "text"))
	id := jobID(m.jobs)
	delete(m.accepted, id) // it never ends by itself
}

func (m *scenario) takeZoneOut() {
	m.e.zones.evacuate(rapid.SampledFrom([]string{"z1", "z2"}).Draw(m.t, "zone"))
}

func (m *scenario) takeZoneBack() {
	m.e.zones.restore(rapid.SampledFrom([]string{"z1", "z2"}).Draw(m.t, "zone"))
}

// turnCold makes a listed worker slow for a time.
func (m *scenario) turnCold() {
	listed := m.e.directory()
	if len(listed) == 0 {
		return
	}
	boot := listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")].Boot
	left := time.Duration(rapid.IntRange(1, 5000).Draw(m.t, "cold for")) * time.Millisecond
	m.e.cold(boot, left, float64(rapid.IntRange(1, 10).Draw(m.t, "tenths of its speed"))/10)
}

// TestEvacuations checks that nothing starts in evacuated zones.
func TestEvacuations(t *testing.T) { prop.Check(t, evacuations(nil)) }

// TestEvacuationsDetectsFaults checks that evacuations detects an owner that never learns of zones,
// and one that learns of them only when it takes over.
func TestEvacuationsDetectsFaults(t *testing.T) {
	for name, wrap := range map[string]func(zoneEvacuated func(string) bool) func(string) bool{
		"never informed": func(func(string) bool) func(string) bool {
			return func(string) bool { return false }
		},
		"informed at the takeover only": func(zoneEvacuated func(string) bool) func(string) bool {
			known := map[string]bool{"z1": zoneEvacuated("z1"), "z2": zoneEvacuated("z2")}
			return func(zone string) bool { return known[zone] }
		},
	} {
		t.Run(name, func(t *testing.T) {
			inject := func(e *testCluster) { e.zones.wrapReport = wrap }
			qt.Assert(t, prop.FindsFailure(t, evacuations(inject)), qt.IsTrue)
		})
	}
}
