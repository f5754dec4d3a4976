package fleetops

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// maintenanceTime is how long maintainedVMs takes a VM down.
const maintenanceTime = 2 * time.Second

// maintainedVMs is a VM service that carries out maintenance.
type maintainedVMs struct {
	*vmService
	accepted map[int][]string // VMs of accepted orders, by wave
	maxDown  int              // most VMs that were down at once
}

func (s *maintainedVMs) MaintainMachine(_ context.Context, vm string, wave int, _ platform.Holder) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.IndexFunc(s.list, func(m platform.Machine) bool { return m.VM == vm })
	if at < 0 || s.list[at].State != platform.MachineUp {
		return platform.ErrRefused{Op: "maintain machine", Reason: "busy"}
	}
	s.accepted[wave] = append(s.accepted[wave], vm)
	s.list[at].State = platform.MachineMaintenance
	s.maxDown = max(s.maxDown, s.down())
	time.AfterFunc(maintenanceTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.list[at].State, s.list[at].Worker = platform.MachineUp, s.list[at].Worker+"+"
	})
	return nil
}

// down returns the number of VMs that are down.
func (s *maintainedVMs) down() (n int) {
	for _, m := range s.list {
		if m.State == platform.MachineMaintenance {
			n++
		}
	}
	return n
}

// runWaves carries out waves on idle VMs for a minute. It returns the VM service and the waves
// that are completed.
func runWaves(c *qt.C, vms []string, waves ...Wave) (s *maintainedVMs, completed []int) {
	f := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{}, waves: waves}
	for _, vm := range vms {
		f.vms.list = append(f.vms.list, platform.Machine{VM: vm, Pool: "a", State: platform.MachineUp, Worker: vm})
	}
	s = &maintainedVMs{vmService: &f.vms, accepted: map[int][]string{}}
	f.rowsOf = func(_ string, rows platform.Rows) platform.Rows { return rows }
	f.vmsOf = func(string, platform.Machines) platform.Machines { return s }
	r := f.open(c, "e", time.Now())
	time.Sleep(time.Minute)
	r.Close()
	for _, w := range waves {
		if r.waves[w.ID].completed {
			completed = append(completed, w.ID)
		}
	}
	return s, completed
}

// A wave is completed although some of its VMs do not exist.
func TestWaveOfMissingVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, completed := runWaves(c, []string{"v1", "v2", "v3"},
			Wave{ID: 1, VMs: []string{"none", "v1", ""}, Within: time.Minute, MaxDown: 1},
			Wave{ID: 2, VMs: []string{"none"}, Within: time.Minute, MaxDown: 1})
		c.Check(completed, qt.DeepEquals, []int{1, 2})
		c.Check(s.accepted, qt.DeepEquals, map[int][]string{1: {"v1"}})
	})
}

// Two waves over the same VMs each maintain all of theirs, once, within their limits.
func TestOverlappingWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		vms := []string{"v1", "v2", "v3", "v4"}
		s, completed := runWaves(c, []string{"v1", "v2", "v3", "v4", "v5", "v6", "v7"},
			Wave{ID: 1, VMs: vms, Within: 50 * time.Second, MaxDown: 1},
			Wave{ID: 2, VMs: vms, Within: 50 * time.Second, MaxDown: 1})
		c.Check(completed, qt.DeepEquals, []int{1, 2})
		for _, wave := range []int{1, 2} {
			slices.Sort(s.accepted[wave])
			c.Check(s.accepted[wave], qt.DeepEquals, vms, qt.Commentf("wave %d", wave))
		}
		c.Check(s.maxDown <= 2, qt.IsTrue, qt.Commentf("%d VMs were down at once", s.maxDown))
	})
}
