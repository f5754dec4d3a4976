package fleetops

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

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
