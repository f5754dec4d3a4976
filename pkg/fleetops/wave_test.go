package fleetops

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// A VM that becomes idle is maintained for a waiting wave rather than moved to another pool.
func TestWaveBeforeMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": 2}}
		for _, vm := range []string{"v1", "v2"} {
			s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "a", State: platform.MachineUp, Worker: vm})
		}
		s.waves = []Wave{{ID: 1, VMs: []string{"v1"}, Within: time.Minute, MaxDown: 1}}
		r := s.open(c, "e", time.Now())
		defer r.Close()
		time.Sleep(time.Second)
		c.Assert(s.vms.firstOrders("e"), qt.HasLen, 0, qt.Commentf("a busy VM was ordered"))
		s.setNeed("a", 0)
		s.setNeed("b", 5)
		time.Sleep(time.Second)
		s.vms.mu.Lock()
		defer s.vms.mu.Unlock()
		c.Check(s.vms.orders, qt.Not(qt.HasLen), 0)
		c.Check(s.vms.list[0].Pool, qt.Equals, "a", qt.Commentf("the VM that waits was moved"))
	})
}

// VMs that are moved among pools get free places of their tasks' steps only after those of all waves,
// which have a deadline.
func TestMovesRankAfterWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"b": 3}}
		for _, vm := range []string{"v1", "v2", "v3", "v4"} {
			s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "a", State: platform.MachineUp, Worker: vm})
		}
		for i, vm := range []string{"v1", "v2"} {
			s.waves = append(s.waves, Wave{ID: i + 1, VMs: []string{vm}, Within: time.Minute, MaxDown: 1})
		}
		r := s.open(c, "e", time.Now())
		defer r.Close()
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		c.Check(s.ranks, qt.DeepEquals, map[string]int{"v1": 0, "v2": 1, "v3": 2, "v4": 2})
	})
}

// A VM that is down by a former holder's order is not maintained again, even if that holder stored
// no progress. A VM that is down for another reason is maintained once it is up.
func TestMaintainedByFormerHolder(t *testing.T) {
	for _, announced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{}}
			for vm, pool := range map[string]string{"v1": "off", "v2": "a", "v3": "b"} { // no pool has demand
				s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: pool, State: platform.MachineUp, Worker: vm})
			}
			since := time.Now()
			first := s.open(c, "first", since)
			if announced {
				s.mu.Lock()
				s.waves = []Wave{{ID: 1, VMs: []string{"v1"}, Within: 20 * time.Second, MaxDown: 1}}
				s.mu.Unlock()
				time.Sleep(300 * time.Millisecond)
				c.Assert(s.vms.firstOrders("first"), qt.HasLen, 1)
			}
			first.Close()
			s.vms.mu.Lock()
			v1 := &s.vms.list[slices.IndexFunc(s.vms.list, func(m platform.Machine) bool { return m.VM == "v1" })]
			v1.State = platform.MachineMaintenance
			s.vms.mu.Unlock()
			s.mu.Lock()
			s.waves = []Wave{{ID: 1, VMs: []string{"v1"}, Within: 20 * time.Second, MaxDown: 1}}
			s.mu.Unlock()
			second := s.open(c, "second", since)
			defer second.Close()
			time.Sleep(time.Second)
			s.vms.mu.Lock()
			v1.State, v1.Worker = platform.MachineUp, "v1+"
			s.vms.mu.Unlock()
			time.Sleep(15 * time.Second)
			want := 1
			if announced {
				want = 0
			}
			c.Check(s.vms.firstOrders("second"), qt.HasLen, want)
		})
	}
}

// A former holder maintained a VM but could not store that: its announcement outlasts later ones, so
// that the next holder leaves the VM, which has another boot now, for last.
func TestFormerMaintenanceLast(t *testing.T) {
	for _, planned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": 3}}
			for _, vm := range []string{"v1", "v2", "v3", "v4", "v5", "v6"} { // the first of a pool are busy
				pool := "a"
				if vm > "v3" {
					pool = "off"
				}
				s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: pool, State: platform.MachineUp, Worker: vm})
			}
			setV1 := func(state platform.MachineState, worker string) {
				s.vms.mu.Lock()
				defer s.vms.mu.Unlock()
				v1 := &s.vms.list[slices.IndexFunc(s.vms.list, func(m platform.Machine) bool { return m.VM == "v1" })]
				v1.State, v1.Worker = state, worker
			}
			s.waves = []Wave{{ID: 1, VMs: []string{"v1", "v2", "v3"}, Within: 25 * time.Second, MaxDown: 1}}
			since := time.Now()
			first := s.open(c, "first", since)
			time.Sleep(300 * time.Millisecond)
			c.Assert(s.vms.firstOrders("first")["v1"].IsZero(), qt.IsFalse)
			setV1(platform.MachineMaintenance, "v1")
			time.Sleep(6 * time.Second)
			s.setNeed("b", 1)
			time.Sleep(time.Second)
			if planned {
				first.Release(context.Background(), "")
			} else {
				first.Close()
			}
			setV1(platform.MachineUp, "v1+")
			second := s.open(c, "second", since)
			defer second.Close()
			time.Sleep(12 * time.Second)
			at := s.vms.firstOrders("second")
			for _, vm := range []string{"v2", "v3"} {
				c.Assert(at[vm].IsZero(), qt.IsFalse, qt.Commentf("%s was not ordered", vm))
				c.Check(at["v1"].After(at[vm]), qt.IsTrue, qt.Commentf("v1 was ordered before %s, planned %v", vm, planned))
			}
		})
	}
}

// lostAnswers counts maintenance orders and loses the answers to the first ones.
type lostAnswers struct {
	platform.Machines
	lost   int32 // answers to lose
	orders atomic.Int32
}

// watch has a fleet use the service.
func (l *lostAnswers) watch(s *testFleet) {
	s.rowsOf = func(_ string, rows platform.Rows) platform.Rows { return rows }
	s.vmsOf = func(_ string, vms platform.Machines) platform.Machines {
		l.Machines = vms
		return l
	}
}

func (l *lostAnswers) MaintainMachine(ctx context.Context, vm string, wave int, h platform.Holder) error {
	err := l.Machines.MaintainMachine(ctx, vm, wave, h)
	if l.orders.Add(1) <= l.lost {
		return platform.ErrUnknown{Op: "maintain machine", Cause: "the answer was lost"}
	}
	return err
}

// A new boot does not prove that an unanswered order was carried out: the VM may have crashed, and
// the order is repeated. The VM list's word that the VM is down for its maintenance proves it.
func TestCrashAfterUnansweredOrder(t *testing.T) {
	for _, listed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{}}
			s.vms.list = []platform.Machine{{VM: "v1", Pool: "off", State: platform.MachineUp, Worker: "v1"}}
			s.waves = []Wave{{ID: 1, VMs: []string{"v1"}, Within: 20 * time.Second, MaxDown: 1}}
			service := &lostAnswers{lost: 1}
			service.watch(s)
			r := s.open(c, "e", time.Now())
			defer r.Close()
			time.Sleep(100 * time.Millisecond)
			c.Assert(service.orders.Load(), qt.Equals, int32(1))
			set := func(state platform.MachineState, worker string) {
				s.vms.mu.Lock()
				defer s.vms.mu.Unlock()
				s.vms.list[0].State, s.vms.list[0].Worker = state, worker
			}
			if listed {
				set(platform.MachineMaintenance, "v1")
				time.Sleep(2 * time.Second)
			}
			set(platform.MachineUp, "v1+")
			time.Sleep(5 * time.Second)
			want := int32(2)
			if listed {
				want = 1
			}
			c.Check(service.orders.Load(), qt.Equals, want, qt.Commentf("listed %v", listed))
			st := r.WaveStatus()
			c.Check(st, qt.HasLen, 0, qt.Commentf("the wave is open"))
		})
	}
}

// A wave over VMs that do not exist or are named twice maintains the others once; one that may take
// no VM down is told to be at risk at once and orders nothing.
func TestBadWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{}}
		for _, vm := range []string{"v1", "v2"} {
			s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "off", State: platform.MachineUp, Worker: vm})
		}
		s.waves = []Wave{
			{ID: 1, VMs: []string{"v1", "none", "v1"}, Within: time.Minute, MaxDown: 2},
			{ID: 2, VMs: []string{"v2"}, Within: time.Hour, MaxDown: 0},
		}
		service := &lostAnswers{}
		service.watch(s)
		r := s.open(c, "e", time.Now())
		defer r.Close()
		time.Sleep(10 * time.Second)
		c.Check(service.orders.Load(), qt.Equals, int32(1))
		c.Check(s.vms.firstOrders("e")["v1"].IsZero(), qt.IsFalse)
		st := r.WaveStatus()
		c.Assert(st, qt.HasLen, 1)
		c.Check(st[0].ID, qt.Equals, 2)
		c.Check(st[0].AtRisk && st[0].Blocked(), qt.IsTrue)
		c.Check(st[0].Limit, qt.Equals, BottleneckMaxDown)
	})
}

// An operator is told of a wave's risk when it becomes known, and again when it changes.
func TestRiskChanged(t *testing.T) {
	c := qt.New(t)
	calm := WaveStatus{Limit: BottleneckPool, LimitOf: "a"}
	late := WaveStatus{AtRisk: true, Limit: BottleneckStep, LimitOf: "j1.0.0"}
	other := WaveStatus{AtRisk: true, Limit: BottleneckStep, LimitOf: "j2.0.0"}
	c.Check(riskChanged(WaveStatus{}, calm), qt.IsFalse)
	c.Check(riskChanged(calm, late), qt.IsTrue)
	c.Check(riskChanged(late, late), qt.IsFalse)
	c.Check(riskChanged(late, other), qt.IsTrue)
	c.Check(riskChanged(late, calm), qt.IsTrue)
}

// A wave whose VMs are all done is not at risk, though a new holder first sees that after its deadline.
func TestDoneWaveNotAtRisk(t *testing.T) {
	c := qt.New(t)
	w := Wave{ID: 1, VMs: []string{"v1", "v2"}, Within: time.Second, MaxDown: 1}
	vms := []*VM{{Name: "v1", Phase: PhaseDone}, {Name: "v2", Phase: PhaseGone}}
	view := View{Elapsed: time.Minute}
	c.Check(waveStatus(w, vms, view).AtRisk, qt.IsFalse)
	vms[0].Phase = PhaseOrdered
	c.Check(waveStatus(w, vms, view).AtRisk, qt.IsTrue)
}

// The next holder knows when a wave was requested, though no VM is done.
func TestWaveStartOutlivesHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{}}
		s.vms.list = []platform.Machine{{VM: "v1", Pool: "off", State: platform.MachineUp, Worker: "v1"}}
		s.waves = []Wave{{ID: 1, VMs: []string{"v1"}, Within: time.Hour, MaxDown: 0}}
		requested := time.Now()
		first := s.open(c, "first", requested)
		time.Sleep(9 * time.Second)
		first.Close()
		second := s.open(c, "second", requested.Add(-time.Minute))
		defer second.Close()
		time.Sleep(time.Second)
		st := second.WaveStatus()
		c.Assert(st, qt.HasLen, 1)
		passed := time.Since(requested)
		c.Check(st[0].Elapsed > passed-time.Second && st[0].Elapsed <= passed, qt.IsTrue, qt.Commentf("%s of %s", st[0].Elapsed, passed))
	})
}

// The owner of a pool learns which of its VMs a wave will drain before it is asked to drain one.
func TestWaveKnownBeforeDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"b": 2}}
		for _, vm := range []string{"v1", "v2"} {
			s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "a", State: platform.MachineUp, Worker: vm})
		}
		s.waves = []Wave{{ID: 1, VMs: []string{"v1", "v2"}, Within: time.Second, MaxDown: 1}}
		var mu sync.Mutex
		var queries []string
		s.onQuery = func(q string) {
			mu.Lock()
			defer mu.Unlock()
			queries = append(queries, q)
		}
		r := s.open(c, "e", time.Now())
		time.Sleep(time.Second)
		r.Close()
		drain := slices.IndexFunc(queries, func(q string) bool { return strings.HasPrefix(q, "drain") })
		c.Assert(drain >= 0, qt.IsTrue, qt.Commentf("%v", queries))
		c.Check(slices.Contains(queries[:drain], "load v1 v2"), qt.IsTrue, qt.Commentf("%v", queries))
	})
}

// What the VMs of a wave wait for is logged when it changes, at most once a second.
func TestWaitsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		r := &Runner{cfg: Config{Clock: elapsed.New()}, log: zerolog.New(&out)}
		w := &wave{Wave: Wave{ID: 3}}
		lines := func() int { return strings.Count(out.String(), "wave_vms_wait") }
		time.Sleep(time.Second)
		r.logWaits(w, map[WaitReason]int{WaitPool: 2, WaitPlaces: 1})
		c.Check(out.String(), qt.Contains, `"places":1,"pool":2`)
		time.Sleep(2 * time.Second)
		r.logWaits(w, map[WaitReason]int{WaitPool: 2, WaitPlaces: 1})
		c.Check(lines(), qt.Equals, 1)
		r.logWaits(w, map[WaitReason]int{WaitPool: 1})
		r.logWaits(w, map[WaitReason]int{WaitPool: 3})
		c.Check(lines(), qt.Equals, 2)
		time.Sleep(time.Second)
		r.logWaits(w, map[WaitReason]int{WaitPool: 3})
		c.Check(lines(), qt.Equals, 3)
	})
}
