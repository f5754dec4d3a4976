package fleetops

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// maintainer is a VM service that carries out maintenance: a VM is down for it, comes back with another
// worker, and the list shows both late.
type maintainer struct {
	platform.Machines
	takes   time.Duration                                      // how long maintenance takes
	listLag time.Duration                                      // how late the list shows a VM
	fault   func(h platform.Holder, vm string, wave int) fault // of each order; nil for none

	mu       sync.Mutex
	vms      *vmService
	started  map[orderKey]time.Time // when the maintenance of a VM for a wave began
	refused  int                    // orders of VMs that are not up
	mostDown map[int]int            // by wave: the most VMs that were down for it at once
	downFor  map[string]int         // by VM: the wave
	past     []snapshot             // of the list
}

type snapshot struct {
	at   time.Time
	list []platform.Machine
}

// fault is what goes wrong with an order.
type fault string

const (
	faultNone    fault = ""
	faultRefused fault = "refused" // it is not carried out, and answered so
	faultLost    fault = "lost"    // it is not carried out, without an answer
	faultSilent  fault = "silent"  // it is carried out, without an answer
)

// newMaintainer has a fleet use a service whose maintenance takes some time.
func newMaintainer(s *testFleet, takes time.Duration) *maintainer {
	m := &maintainer{
		takes: takes, vms: &s.vms, started: map[orderKey]time.Time{}, mostDown: map[int]int{}, downFor: map[string]int{},
	}
	s.maintenance = takes
	s.rowsOf = func(_ string, rows platform.Rows) platform.Rows { return rows }
	s.vmsOf = func(_ string, vms platform.Machines) platform.Machines {
		m.Machines = vms
		return m
	}
	return m
}

// MaintainMachine implements platform.Machines.
func (m *maintainer) MaintainMachine(ctx context.Context, vm string, wave int, h platform.Holder) error {
	kind := faultNone
	if m.fault != nil {
		kind = m.fault(h, vm, wave)
	}
	if kind == faultRefused {
		return platform.ErrNotDone{Op: "maintain machine"}
	}
	if kind != faultLost {
		if err := m.carryOut(ctx, vm, wave, h); err != nil {
			return err
		}
	}
	if kind != faultNone {
		return platform.ErrUnknown{Op: "maintain machine", Cause: "no answer"}
	}
	return nil
}

func (m *maintainer) carryOut(ctx context.Context, vm string, wave int, h platform.Holder) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.started[orderKey{vm, wave}].IsZero() {
		return nil // done before
	}
	if !m.set(vm, platform.MachineUp, platform.MachineMaintenance, "") {
		m.refused++
		return platform.ErrRefused{Op: "maintain machine", Reason: "busy"}
	}
	m.started[orderKey{vm, wave}] = time.Now()
	m.downFor[vm] = wave
	down := 0
	for _, w := range m.downFor {
		if w == wave {
			down++
		}
	}
	m.mostDown[wave] = max(m.mostDown[wave], down)
	time.AfterFunc(m.takes, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.downFor, vm)
		m.set(vm, platform.MachineMaintenance, platform.MachineUp, "+")
	})
	return m.Machines.MaintainMachine(ctx, vm, wave, h)
}

// set changes the state of a VM that is in another, and appends to the ID of its worker.
func (m *maintainer) set(vm string, from, to platform.MachineState, id string) bool {
	m.vms.mu.Lock()
	defer m.vms.mu.Unlock()
	at := slices.IndexFunc(m.vms.list, func(l platform.Machine) bool { return l.VM == vm })
	if m.vms.list[at].State != from {
		return false
	}
	m.past = append(m.past, snapshot{time.Now(), slices.Clone(m.vms.list)})
	m.vms.list[at].State = to
	m.vms.list[at].Worker += id
	return true
}

// crash has a VM come back with another worker after some time.
func (m *maintainer) crash(vm string, down time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.set(vm, platform.MachineUp, platform.MachineDown, "") {
		time.AfterFunc(down, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.set(vm, platform.MachineDown, platform.MachineUp, "c")
		})
	}
}

// ListMachines implements platform.Machines.
func (m *maintainer) ListMachines(ctx context.Context) ([]platform.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.past { // the list as it was then, before the first change since
		if s.at.After(time.Now().Add(-m.listLag)) {
			return slices.Clone(s.list), nil
		}
	}
	return m.Machines.ListMachines(ctx)
}

// startedBy returns the VMs whose maintenance for a wave has begun.
func (m *maintainer) startedBy(wave int) (vms []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.started {
		if key.wave == wave {
			vms = append(vms, key.vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// watchCompleted has completed waves checked when they are reported: each VM of theirs has begun its
// maintenance. It returns when that was, by wave.
func (m *maintainer) watchCompleted(c *qt.C, s *testFleet) (completed func() map[int]time.Time) {
	var mu sync.Mutex
	at := map[int]time.Time{}
	s.report = func(id int, done bool) {
		if !done {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		at[id] = time.Now()
		for _, w := range s.requested() {
			if w.ID != id {
				continue
			}
			started := m.startedBy(id)
			for _, vm := range w.VMs {
				c.Check(slices.Contains(started, vm), qt.IsTrue, qt.Commentf("wave %d is reported as completed, and %s has not begun its maintenance", id, vm))
			}
		}
	}
	return func() map[int]time.Time {
		mu.Lock()
		defer mu.Unlock()
		return at
	}
}

// waveCase is a course of waves over the same VMs.
type waveCase struct {
	waves   []Wave
	fault   fault         // of the first orders
	faultBy string        // the holder whose orders fail, empty for all
	until   time.Duration // when the fault ends
	second  time.Duration // when the second wave is asked for, and each later one after the same time again
	crash   time.Duration // when all VMs crash for 0.7 s, 0 for never
	lag     time.Duration // of the VM list
	handOn  []time.Duration
	planned bool // the holder hands on, rather than being killed
}

// run plays the course and reports when each wave was completed.
func (w *waveCase) run(c *qt.C) (m *maintainer, completed map[int]time.Time) {
	s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": 6}, light: true}
	for _, vm := range []string{"v1", "v2", "v3", "v4", "v5", "v6"} {
		s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "a", State: platform.MachineUp, Worker: vm})
	}
	m = newMaintainer(s, 2*time.Second)
	m.listLag = w.lag
	begun := time.Now()
	m.fault = func(h platform.Holder, _ string, _ int) fault {
		if time.Since(begun) < w.until && (w.faultBy == "" || w.faultBy == h.Name) {
			return w.fault
		}
		return faultNone
	}
	reports := m.watchCompleted(c, s)
	for i, wave := range w.waves {
		time.AfterFunc(time.Duration(i)*w.second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.waves = append(slices.Clone(s.waves), wave)
		})
	}
	if w.crash > 0 {
		time.AfterFunc(w.crash, func() {
			for _, vm := range w.waves[0].VMs {
				m.crash(vm, 700*time.Millisecond)
			}
		})
	}
	r := s.open(c, "first", begun)
	for i, at := range w.handOn {
		time.Sleep(time.Until(begun.Add(at)))
		if w.planned {
			r.Release(context.Background(), "")
		} else {
			r.Close()
		}
		r = s.open(c, []string{"second", "third"}[i], begun)
	}
	time.Sleep(time.Until(begun.Add(60 * time.Second)))
	r.Close()
	return m, reports()
}

// TestWavesOverSameVMs guards against a wave that is reported as completed although a VM was down for
// another wave only: what a VM's state shows names no wave.
func TestWavesOverSameVMs(t *testing.T) {
	two := []Wave{
		{ID: 1, VMs: []string{"v1", "v2"}, Within: 40 * time.Second, MaxDown: 2},
		{ID: 2, VMs: []string{"v1", "v2"}, Within: 24 * time.Second, MaxDown: 2},
	}
	three := append(slices.Clone(two), Wave{ID: 3, VMs: []string{"v2", "v3"}, Within: 30 * time.Second, MaxDown: 1})
	cut := []time.Duration{3 * time.Second}
	for name, w := range map[string]waveCase{
		"calm":                           {waves: two},
		"refused, killed":                {waves: two, fault: faultRefused, until: 3 * time.Second, handOn: cut},
		"refused, planned":               {waves: two, fault: faultRefused, until: 3 * time.Second, handOn: cut, planned: true},
		"not sent, killed":               {waves: two, fault: faultLost, until: 3 * time.Second, handOn: cut},
		"not sent, planned":              {waves: two, fault: faultLost, until: 3 * time.Second, handOn: cut, planned: true},
		"carried out, killed":            {waves: two, fault: faultSilent, until: 3 * time.Second, handOn: cut},
		"killed twice":                   {waves: two, fault: faultLost, until: 8 * time.Second, handOn: []time.Duration{3 * time.Second, 8 * time.Second}},
		"killed in the maintenance":      {waves: two, handOn: []time.Duration{500 * time.Millisecond, 5500 * time.Millisecond}},
		"killed twice, one loses orders": {waves: three, fault: faultLost, faultBy: "first", until: time.Minute, handOn: []time.Duration{6 * time.Second, 12 * time.Second}},
		"three waves, refused":           {waves: three, fault: faultRefused, until: 5 * time.Second, handOn: cut},
		"crash, nobody killed":           {waves: two, fault: faultLost, until: 2500 * time.Millisecond, crash: 2200 * time.Millisecond},
		"crash, late list":               {waves: two, fault: faultLost, until: 2500 * time.Millisecond, crash: 2200 * time.Millisecond, lag: 1500 * time.Millisecond},
		"late list, killed":              {waves: two, fault: faultRefused, until: 3 * time.Second, handOn: cut, lag: 1500 * time.Millisecond},
	} {
		for _, second := range []time.Duration{0, time.Second, 2 * time.Second} {
			w := w
			w.second = second
			t.Run(name+", second after "+second.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					m, completed := w.run(c)
					for _, wave := range w.waves {
						c.Check(completed[wave.ID].IsZero(), qt.IsFalse, qt.Commentf("wave %d is not completed", wave.ID))
						c.Check(m.startedBy(wave.ID), qt.DeepEquals, wave.VMs)
						c.Check(m.mostDown[wave.ID] <= wave.MaxDown, qt.IsTrue)
					}
				})
			})
		}
	}
}
