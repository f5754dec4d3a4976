package fleetops

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// drawnWave draws a request over some of the VMs.
func drawnWave(t *rapid.T, id int, vms []string) *Wave {
	w := &Wave{ID: id, Within: time.Duration(rapid.IntRange(15, 60).Draw(t, "within")) * time.Second, MaxDown: rapid.IntRange(1, 3).Draw(t, "max down")}
	for _, vm := range vms {
		if rapid.Bool().Draw(t, vm) {
			w.VMs = append(w.VMs, vm)
		}
	}
	return w
}

// drawnWaves runs random scenarios in which an operator writes, edits and removes waves over the same VMs, while VMs crash,
// orders fail, the VM list is late and holders are replaced. In the end all waves are completed.
func drawnWaves(t *rapid.T) {
	s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": 4}, light: rapid.Bool().Draw(t, "light")}
	var vms []string
	for i := range 5 {
		vms = append(vms, "v"+strconv.Itoa(i+1))
		s.vms.list = append(s.vms.list, platform.Machine{VM: vms[i], Pool: "a", State: platform.MachineUp, Worker: vms[i]})
	}
	m := newMaintainer(s, 2*time.Second)
	m.listLag = time.Duration(rapid.IntRange(0, 1400).Draw(t, "list lag")) * time.Millisecond
	var kind atomic.Value // the fault of orders
	kind.Store(faultNone)
	m.fault = func(platform.Holder, string, int) fault { return kind.Load().(fault) }
	since := time.Now()
	open := func() *Runner {
		r, err := s.tryOpen("e", since)
		if err != nil {
			t.Fatalf("%v", err)
		}
		return r
	}
	r := open()
	write := func() {
		id := rapid.IntRange(1, 2).Draw(t, "wave")
		if rapid.IntRange(0, 7).Draw(t, "remove") == 0 {
			s.write(m, id, nil)
			return
		}
		s.write(m, id, drawnWave(t, id, vms))
	}
	replace := func(planned bool) {
		if planned {
			r.Release(context.Background(), "")
		} else {
			r.Close()
		}
		time.Sleep(time.Duration(rapid.IntRange(0, 2000).Draw(t, "nobody for")) * time.Millisecond)
		r = open()
	}
	events := []func(){
		write, write, write,
		func() {
			kind.Store(rapid.SampledFrom([]fault{faultNone, faultRefused, faultLost, faultSilent}).Draw(t, "fault"))
		},
		func() {
			m.crash(rapid.SampledFrom(vms).Draw(t, "crash"), time.Duration(rapid.IntRange(300, 3000).Draw(t, "down"))*time.Millisecond)
		},
		func() { replace(false) },
		func() { replace(true) },
	}
	write()
	for range rapid.IntRange(4, 14).Draw(t, "events") {
		time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		events[rapid.IntRange(0, len(events)-1).Draw(t, "event")]()
	}
	kind.Store(faultNone)
	time.Sleep(100 * time.Second)
	r.Close()
	if len(m.broken) > 0 {
		t.Fatalf("%v", m.broken)
	}
	for id, w := range m.requests {
		started := m.startedBy(id)
		for _, vm := range w.VMs {
			if !slices.Contains(started, vm) {
				t.Fatalf("wave %d: %s was not maintained", id, vm)
			}
		}
		if !m.state(id).completed {
			t.Fatalf("wave %d is not completed", id)
		}
	}
}

// TestDrawnWaves guards against waves that are reported as completed too soon, or never, and against too many VMs that are
// down, whatever an operator writes beside whatever fails.
func TestDrawnWaves(t *testing.T) { prop.Check(t, drawnWaves) }
