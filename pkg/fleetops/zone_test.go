package fleetops

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// When a zone is evacuated, its pools get VMs of other zones, its VMs are not moved, and waves
// still maintain them.
func TestZoneOutOfUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": 2}, evacuatedZone: "north"}
		for vm, zone := range map[string]string{"v1": "north", "v2": "south"} {
			s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Zone: zone, Pool: "a", State: platform.MachineUp, Worker: vm})
		}
		for vm, zone := range map[string]string{"v3": "north", "v4": "north", "v5": "south", "v6": "south", "v7": "south"} {
			s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Zone: zone, Pool: "off", State: platform.MachineUp, Worker: vm})
		}
		s.waves = []Wave{{ID: 1, VMs: []string{"v4"}, Within: time.Minute, MaxDown: 1}}
		r := s.open(c, "e", time.Now())
		time.Sleep(2 * time.Second)
		ordered := s.vms.firstOrders("e")
		for _, vm := range []string{"v5", "v6", "v7"} {
			c.Check(ordered[vm].IsZero(), qt.IsFalse, qt.Commentf("%s was not moved", vm))
		}
		for _, vm := range []string{"v1", "v3"} {
			c.Check(ordered[vm].IsZero(), qt.IsTrue, qt.Commentf("%s was moved", vm))
		}
		c.Check(ordered["v4"].IsZero(), qt.IsFalse, qt.Commentf("v4 was not maintained"))
		r.Close()
	})
}

// The idle VMs of an evacuated zone go to the spare pool, but for as many as their pool lacks. The next
// holder goes on with it, and they are used again when the zone is back.
func TestIdleVMsOfEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": 3}, evacuatedZone: "north", evacuatedIdle: true}
		for vm, zone := range map[string]string{"v1": "north", "v2": "north", "v3": "north", "v4": "south", "v5": "south", "v6": "south"} {
			s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Zone: zone, Pool: "a", State: platform.MachineUp, Worker: vm})
		}
		first := s.open(c, "e", time.Now())
		time.Sleep(time.Second)
		c.Check(s.vms.firstOrders("e"), qt.HasLen, 0, qt.Commentf("moved at once"))
		first.Close()
		r := s.open(c, "f", time.Now())
		defer r.Close()
		time.Sleep(10 * time.Second)
		c.Check(s.poolOf("v1", "v2", "v3"), qt.DeepEquals, map[string]int{"a": 2, "off": 1})

		s.setNeed("a", 1) // of the other zones' VMs, one is now the reserve of the other pool
		time.Sleep(10 * time.Second)
		c.Check(s.poolOf("v1", "v2", "v3"), qt.DeepEquals, map[string]int{"a": 1, "off": 2})

		s.setEvacuated("")
		s.setNeed("a", 5)
		time.Sleep(10 * time.Second)
		c.Check(s.poolOf("v1", "v2", "v3", "v4", "v5", "v6"), qt.DeepEquals, map[string]int{"a": 5, "b": 1})
	})
}

// A move that was not ordered yet is given up when its VM's zone is evacuated, or is back if the move was
// planned for that reason.
func TestMovesOfZones(t *testing.T) {
	c := qt.New(t)
	out := map[string]bool{"north": true}
	r := &Runner{cfg: Config{Clock: elapsed.New(), ZoneEvacuated: func(zone string) bool { return out[zone] }}, log: zerolog.Nop(), moves: map[string]*move{}}
	machines := map[string]platform.Machine{}
	for vm, zone := range map[string]string{"n1": "north", "n2": "north", "s1": "south", "s2": "south"} {
		machines[vm] = platform.Machine{VM: vm, Zone: zone, Pool: "a", State: platform.MachineUp}
		r.moves[vm] = &move{Move: Move{VM: vm, From: "a", To: "off"}, evacuated: out[zone], plannedAt: r.now()}
	}
	r.moves["n2"].orderedAt, r.moves["s2"].orderedAt = 1, 1
	r.finishMoves(machines)
	c.Check(r.moves, qt.HasLen, 4)
	out = map[string]bool{"south": true}
	r.finishMoves(machines)
	c.Check(slices.Sorted(maps.Keys(r.moves)), qt.DeepEquals, []string{"n2", "s2"})
}

// poolOf counts VMs by their pool.
func (s *testFleet) poolOf(vms ...string) map[string]int {
	s.vms.mu.Lock()
	defer s.vms.mu.Unlock()
	pools := map[string]int{}
	for _, m := range s.vms.list {
		if slices.Contains(vms, m.VM) {
			pools[m.Pool]++
		}
	}
	return pools
}

func (s *testFleet) setEvacuated(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuatedZone = zone
}
