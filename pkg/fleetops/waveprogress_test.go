package fleetops

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// set changes a VM in the list.
func (s *vmService) set(vm string, state platform.MachineState, worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.list[slices.IndexFunc(s.list, func(m platform.Machine) bool { return m.VM == vm })]
	m.State, m.Worker = state, worker
}

// newProgressFleet returns a fleet of spare VMs, one of which may be down for the wave at a time. The
// table service has stopped to take transactions once outage is called.
func newProgressFleet(vms ...string) (s *testFleet, outage, over func()) {
	s = &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{}, progress: &ProgressCache{}}
	for _, vm := range vms {
		s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "off", State: platform.MachineUp, Worker: vm})
	}
	for _, pool := range []string{"a", "b"} { // what they want to have, so that nothing is moved
		s.vms.list = append(s.vms.list, platform.Machine{VM: "in-" + pool, Pool: pool, State: platform.MachineUp, Worker: "in-" + pool})
	}
	s.waves = []Wave{{ID: 1, VMs: vms, Within: 30 * time.Second, MaxDown: 1}}
	setFault := func(f fake.Fault) {
		s.rows.SetFault(func(op fake.RowOp, _ string) fake.Fault {
			if op == fake.RowCommit {
				return f
			}
			return fake.FaultNone
		})
	}
	return s, func() { setFault(fake.FaultDown) }, func() { setFault(fake.FaultNone) }
}

// openUntilOrder opens the first holder of a fleet and returns it once it has ordered one VM.
func openUntilOrder(c *qt.C, s *testFleet, since time.Time) *Runner {
	first := s.open(c, "first", since)
	time.Sleep(600 * time.Millisecond)
	c.Assert(s.vms.firstOrders("first"), qt.HasLen, 1)
	return first
}

// openSecond opens the second holder of a fleet, the first one to see its waves.
func openSecond(c *qt.C, s *testFleet) *Runner {
	since, waves := time.Now(), s.waves
	s.waves = nil
	s.open(c, "first", since).Close()
	s.mu.Lock()
	s.waves = waves
	s.mu.Unlock()
	return s.open(c, "second", since)
}

// A VM that was done while the table service was away is not maintained again by the next holder, and
// its wave ends. Without the entries that were told of it, it is.
func TestDoneDuringOutage(t *testing.T) {
	for _, kept := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s, outage, over := newProgressFleet("v1")
			if !kept {
				s.progress = nil
			}
			since := time.Now()
			first := s.open(c, "first", since)
			time.Sleep(300 * time.Millisecond)
			c.Assert(s.vms.firstOrders("first"), qt.HasLen, 1)
			outage()
			s.vms.set("v1", platform.MachineUp, "v1+")
			time.Sleep(2 * time.Second)
			first.Close()
			over()
			s.vms.set("v1", platform.MachineUp, "v1++") // crashed since: its worker tells nothing
			second := s.open(c, "second", since)
			defer second.Close()
			time.Sleep(400 * time.Millisecond)
			if kept {
				c.Check(second.WaveStatus(), qt.HasLen, 0, qt.Commentf("the wave is open"))
			}
			time.Sleep(15 * time.Second)
			c.Check(len(s.vms.firstOrders("second")) == 0, qt.Equals, kept)
		})
	}
}

// A VM whose order was accepted is not ordered again by the next holder. Until it is back, it counts
// as down.
func TestAcceptedByFormerHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _, _ := newProgressFleet("v1", "v2")
		s.maintenance = 10 * time.Second
		since := time.Now()
		openUntilOrder(c, s, since).Close()
		time.Sleep(5 * time.Second) // the former holder's announcement has run out
		second := s.open(c, "second", since)
		defer second.Close()
		time.Sleep(time.Second)
		c.Check(s.vms.firstOrders("second"), qt.HasLen, 0, qt.Commentf("ordered while v1 may be down"))
		s.vms.set("v1", platform.MachineUp, "v1+")
		time.Sleep(time.Second)
		at := s.vms.firstOrders("second")
		c.Check(at, qt.HasLen, 1)
		c.Check(at["v2"].IsZero(), qt.IsFalse)
	})
}

// A VM that is back with another worker than it had when its order was announced is done at once.
func TestAcceptedAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _, _ := newProgressFleet("v1", "v2")
		since := time.Now()
		openUntilOrder(c, s, since).Close()
		s.vms.set("v1", platform.MachineUp, "v1+")
		time.Sleep(5 * time.Second)
		second := s.open(c, "second", since)
		defer second.Close()
		time.Sleep(300 * time.Millisecond)
		at := s.vms.firstOrders("second")
		c.Check(at, qt.HasLen, 1)
		c.Check(at["v2"].IsZero(), qt.IsFalse)
	})
}

// What the table service may not hold of a wave is told: accepted orders, and what is done as long as
// it is not stored.
func TestUnstoredProgress(t *testing.T) {
	c := qt.New(t)
	w := &wave{Wave: Wave{ID: 4, VMs: []string{"v1", "v2", "v3", "v4"}}, loaded: true}
	for i, p := range []Phase{PhaseDone, PhaseOrdered, PhaseOrdered, PhaseGone} {
		w.vms = append(w.vms, &VM{Name: w.VMs[i], Phase: p})
	}
	w.vms[1].accept(time.Second)
	r := &Runner{waves: map[int]*wave{4: w}, clock: tableClock{serverTime: time.Minute, sent: 2 * time.Second, received: 3 * time.Second}}
	accepted := map[int]time.Duration{1: 59 * time.Second}
	want := []WaveProgress{{Wave: 4, VMListHash: w.vmListHash(), Done: []byte{0b1001}, Accepted: []byte{0b0010}, AcceptedBy: accepted}}
	c.Check(r.unstoredProgress(), qt.DeepEquals, want, qt.Commentf("an order was accepted"))
	w.vms[1].accepted = false
	c.Check(r.unstoredProgress(), qt.HasLen, 0, qt.Commentf("all is stored"))
	w.changed = true
	want[0].Accepted, want[0].AcceptedBy = []byte{0}, map[int]time.Duration{}
	c.Check(r.unstoredProgress(), qt.DeepEquals, want, qt.Commentf("not stored yet"))
	w.loaded = false
	c.Check(r.unstoredProgress(), qt.HasLen, 0, qt.Commentf("not read yet"))
}

// A spare VM that a former holder ordered counts as down for as long as its maintenance takes since the
// order was accepted, however often the holder changes and whatever its own clock shows.
func TestAcceptedByChangingHolders(t *testing.T) {
	const takes = 4 * time.Second
	for _, planned := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s, _, _ := newProgressFleet("v1", "v2")
			s.maintenance = takes
			holder := s.open(c, "e0", time.Now())
			time.Sleep(600 * time.Millisecond)
			ordered := s.vms.firstOrders("e0")["v1"]
			c.Assert(ordered.IsZero(), qt.IsFalse)
			var at time.Time
			for i := 1; i <= 8 && at.IsZero(); i++ {
				if planned {
					holder.Release(context.Background(), "")
				} else {
					holder.Close()
				}
				entry := fmt.Sprint("e", i)
				holder = s.open(c, entry, time.Now())
				time.Sleep(time.Second)
				at = s.vms.firstOrders(entry)["v2"]
			}
			holder.Close()
			c.Assert(at.IsZero(), qt.IsFalse, qt.Commentf("v2 is never ordered, planned %v", planned))
			c.Check(at.Sub(ordered) >= takes, qt.IsTrue, qt.Commentf("v2 ordered %v after v1, planned %v", at.Sub(ordered), planned))
			c.Check(at.Sub(ordered) < takes+maxListLag+time.Second, qt.IsTrue, qt.Commentf("v2 ordered %v after v1, planned %v", at.Sub(ordered), planned))
		})
	}
}

// What others tell of a wave waits until the announcement was read: it tells which worker a VM had, and
// the table service's clock.
func TestLearnedBeforeAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _, _ := newProgressFleet("v1", "v2")
		s.maintenance = 10 * time.Second
		since := time.Now()
		openUntilOrder(c, s, since).Close()
		s.vms.set("v1", platform.MachineUp, "v1+")
		var silent atomic.Bool
		silent.Store(true)
		s.rowsOf = func(_ string, rows platform.Rows) platform.Rows {
			return rowsWithout{Rows: rows, key: announcementKey, silent: &silent}
		}
		s.vmsOf = func(_ string, vms platform.Machines) platform.Machines { return vms }
		second := s.open(c, "second", since)
		defer second.Close()
		time.Sleep(time.Second)
		silent.Store(false)
		time.Sleep(time.Second)
		at := s.vms.firstOrders("second")
		c.Check(at, qt.HasLen, 1, qt.Commentf("v1 counts as down"))
		c.Check(at["v2"].IsZero(), qt.IsFalse)
	})
}

// rowsWithout fails reads of one row while silent.
type rowsWithout struct {
	platform.Rows
	key    platform.RowKey
	silent *atomic.Bool
}

func (r rowsWithout) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	if r.silent.Load() && table == r.key.Table && from == r.key.Key {
		return platform.RowPage{}, errors.New("no answer")
	}
	return r.Rows.ListRows(ctx, table, partition, from)
}

// A VM whose worker before the order is not known any more counts as down until its maintenance must
// be over: what runs there may be the worker that is about to end.
func TestAcceptedWorkerUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _, _ := newProgressFleet("v1", "v2")
		p := WaveProgress{Wave: 1, VMListHash: s.waves[0].vmListHash(), Done: newBits(2), Accepted: newBits(2)}
		setBit(p.Accepted, 0)
		s.progress.Add([]WaveProgress{p})
		defer openSecond(c, s).Close()
		time.Sleep(time.Second)
		c.Check(s.vms.firstOrders("second"), qt.HasLen, 0)
		time.Sleep(maxListLag)
		at := s.vms.firstOrders("second")
		c.Check(at, qt.HasLen, 1)
		c.Check(at["v2"].IsZero(), qt.IsFalse)
	})
}

// A former holder that does not know of its replacement tells more after the takeover.
func TestLearnedAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _, _ := newProgressFleet("v1")
		s.waves[0].MaxDown = 0 // nothing is ordered
		since := time.Now()
		s.open(c, "first", since).Close()
		second := s.open(c, "second", since)
		defer second.Close()
		time.Sleep(3 * time.Second)
		c.Assert(second.WaveStatus(), qt.HasLen, 1)
		p := WaveProgress{Wave: 1, VMListHash: s.waves[0].vmListHash(), Done: newBits(1), Accepted: newBits(1)}
		setBit(p.Done, 0)
		s.progress.Add([]WaveProgress{p})
		time.Sleep(time.Second)
		c.Check(second.WaveStatus(), qt.HasLen, 0)
	})
}

// Progress of a request that named other VMs is not applied.
func TestProgressOfChangedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _, _ := newProgressFleet("v1")
		other := Wave{VMs: []string{"v2"}}
		p := WaveProgress{Wave: 1, VMListHash: other.vmListHash(), Done: newBits(1)}
		setBit(p.Done, 0)
		s.progress.Add([]WaveProgress{p})
		defer openSecond(c, s).Close()
		time.Sleep(time.Second)
		c.Check(s.vms.firstOrders("second"), qt.HasLen, 1)
	})
}

// The cache unites what several holders tell, replaces what it holds of a changed request, and keeps
// the waves told of last.
func TestProgressCache(t *testing.T) {
	c := qt.New(t)
	var cache ProgressCache
	cache.Add([]WaveProgress{{Wave: 1, VMListHash: 7, Done: []byte{1}, Accepted: []byte{6}, AcceptedBy: map[int]time.Duration{1: 5, 2: 6}}})
	cache.Add([]WaveProgress{{Wave: 1, VMListHash: 7, Done: []byte{2, 1}, Accepted: []byte{12}, AcceptedBy: map[int]time.Duration{2: 4, 3: 7}}})
	cache.Add([]WaveProgress{{Wave: 1, VMListHash: 7, Accepted: []byte{12}, AcceptedBy: map[int]time.Duration{2: 8}}})
	c.Check(cache.All(), qt.DeepEquals, []WaveProgress{
		{Wave: 1, VMListHash: 7, Done: []byte{3, 1}, Accepted: []byte{14}, AcceptedBy: map[int]time.Duration{2: 4, 3: 7}},
	}, qt.Commentf("the earliest time known of each VM that is not done"))
	cache.Add([]WaveProgress{{Wave: 1, VMListHash: 8, Done: []byte{1}}})
	c.Check(cache.All(), qt.DeepEquals, []WaveProgress{{Wave: 1, VMListHash: 8, Done: []byte{1}}})
	for i := range maxCachedWaves {
		cache.Add([]WaveProgress{{Wave: i + 2}})
	}
	all := cache.All()
	c.Assert(all, qt.HasLen, maxCachedWaves)
	c.Check(all[0].Wave, qt.Equals, 2)
}
