package fleetops

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// orderGap is the minimum time between orders of two holders for one VM.
const orderGap = 3 * time.Second

// vmService lists VMs and records orders; it implements platform.Machines.
type vmService struct {
	mu     sync.Mutex
	list   []platform.Machine
	orders []order
}

// order is an order as accepted by the VM service.
type order struct {
	vm     string
	holder string
	token  int64
	at     time.Time
}

func (s *vmService) ListMachines(context.Context) ([]platform.Machine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]platform.Machine(nil), s.list...), nil
}

func (s *vmService) MoveMachine(_ context.Context, vm, pool string, h platform.Holder) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, order{vm: vm, holder: h.Name, token: h.Token, at: time.Now()})
	for i := range s.list {
		if s.list[i].VM == vm {
			s.list[i].Pool, s.list[i].Worker = pool, s.list[i].Worker+"+"
		}
	}
	return nil
}

func (s *vmService) MaintainMachine(_ context.Context, vm string, _ int, h platform.Holder) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, order{vm: vm, holder: h.Name, token: h.Token, at: time.Now()})
	return nil
}

// firstOrders returns when a holder first ordered each VM.
func (s *vmService) firstOrders(holder string) map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := map[string]time.Time{}
	for _, o := range s.orders {
		if _, ok := at[o.vm]; !ok && o.holder == holder {
			at[o.vm] = o.at
		}
	}
	return at
}

// lastOrders returns when a holder last ordered each VM.
func (s *vmService) lastOrders(holder string) map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := map[string]time.Time{}
	for _, o := range s.orders {
		if o.holder == holder {
			at[o.vm] = o.at
		}
	}
	return at
}

// testFleet is a deployment of two pools, whose demand the test sets, and a spare pool.
type testFleet struct {
	vms  vmService
	rows *fake.Rows

	mu            sync.Mutex
	need          map[string]int // demand in VMs, by pool
	unusablePool  string         // pool without usable workers, whose tasks wait
	evacuatedZone string         // zone that is evacuated
	evacuatedIdle bool           // the evacuated VMs have no work
	light         bool           // no VM has much work
	waves         []Wave
	ranks         map[string]int     // by VM: the rank with which it was last drained
	maintenance   time.Duration      // how long the maintenance of a VM takes
	drainTakes    time.Duration      // how long a VM takes to drain
	progress      *ProgressCache     // kept by the entries of the pools' owners; nil for none
	onQuery       func(query string) // called with what the owners of pools are asked; nil for nothing
	onWaves       func([]WaveStatus) // called with the progress of open waves; nil for nothing
	// rowsOf and vmsOf wrap the services as seen by an entry; nil for no faults.
	rowsOf func(entry string, rows platform.Rows) platform.Rows
	vmsOf  func(entry string, vms platform.Machines) platform.Machines
}

// statusRow encodes the report of a wave.
func statusRow(wave int, completed bool) (platform.Row, error) {
	return platform.Row{RowKey: platform.RowKey{Table: "status", Key: strconv.Itoa(wave)}, Value: []byte(strconv.FormatBool(completed))}, nil
}

func (s *testFleet) requested() []Wave {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waves
}

func (s *testFleet) evacuated(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuatedZone != "" && zone == s.evacuatedZone
}

func (s *testFleet) load(_ context.Context, pool string) (l shard.Load, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pool == s.unusablePool {
		l.Waiting = platform.Resources{CPU: 1000 * s.need[pool]}
		return l, true
	}
	l.VMCapacity = platform.Resources{CPU: 1000}
	l.Used = platform.Resources{CPU: 1000 * s.need[pool]}
	s.vms.mu.Lock()
	defer s.vms.mu.Unlock()
	for _, m := range s.vms.list {
		if m.Pool != pool {
			continue
		}
		if s.evacuatedZone != "" && m.Zone == s.evacuatedZone {
			if s.evacuatedIdle {
				l.Light = append(l.Light, m.VM)
			}
			continue
		}
		if l.Workers++; l.Workers > s.need[pool] || s.light {
			l.Light = append(l.Light, m.VM)
		}
	}
	return l, true
}

// notify passes on what the owners of pools are asked.
func (s *testFleet) notify(query string) {
	if s.onQuery != nil {
		s.onQuery(query)
	}
}

func (s *testFleet) noteRank(vm string, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ranks == nil {
		s.ranks = map[string]int{}
	}
	s.ranks[vm] = rank
}

func (s *testFleet) setNeed(pool string, vms int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.need[pool] = vms
}

func (s *testFleet) open(c *qt.C, entry string, since time.Time) *Runner {
	r, err := s.tryOpen(entry, since)
	c.Assert(err, qt.IsNil)
	return r
}

// tryOpen has an entry take over from the current holder, if any.
func (s *testFleet) tryOpen(entry string, since time.Time) (*Runner, error) {
	rows, vms := s.rows.As(entry), platform.Machines(&s.vms)
	if s.rowsOf != nil {
		rows, vms = s.rowsOf(entry, rows), s.vmsOf(entry, vms)
	}
	seen, err := shard.ReadOwner(context.Background(), rows, Partition)
	if err != nil {
		return nil, err
	}
	cat := catalog.New(catalog.Catalog{Pools: []catalog.Pool{{Name: "a"}, {Name: "b"}, {Name: "off", Spare: true}}})
	return Open(context.Background(), Config{
		Self: shard.Identity{Entry: entry}, Log: zerolog.Nop(), Clock: elapsed.New(elapsed.WithOrigin(since)), Rows: rows, Machines: vms,
		Drain: func(_ context.Context, _, vm string, rank int) bool {
			s.notify("drain " + vm)
			s.noteRank(vm, rank)
			time.Sleep(s.drainTakes)
			return true
		}, Load: func(ctx context.Context, q LoadQuery) (reply LoadReply, ok bool) {
			if s.progress != nil {
				s.progress.Add(q.Progress)
			}
			if s.progress != nil && q.AskProgress {
				reply.Progress = s.progress.All()
			}
			s.notify("load " + strings.Join(q.WaveVMs, " "))
			reply.Load, ok = s.load(ctx, q.Pool)
			return reply, ok
		},
		Report: statusRow, OnWaves: s.onWaves,
		Waves: s.requested, ZoneEvacuated: s.evacuated,
		OrderGap: orderGap, MaintenanceTime: s.maintenance, BeforeTakeover: func() {}, OnGivenUp: func(error) {},
	}, shard.ObservedOwner{Version: seen.Version}, cat)
}

// After a planned or unplanned handover, the next holder delays orders for the VMs ordered last,
// and only those.
func TestHandover(t *testing.T) {
	for _, planned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": 1, "b": 1}}
			for _, vm := range []string{"v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8", "v9"} {
				s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "off", State: platform.MachineUp, Worker: vm})
			}
			since := time.Now()
			first := s.open(c, "first", since)
			time.Sleep(time.Second)
			ordered := s.vms.firstOrders("first")
			c.Assert(ordered, qt.Not(qt.HasLen), 0)
			if planned {
				first.Release(context.Background(), "")
			} else {
				first.Close()
			}
			second := s.open(c, "second", since)
			s.setNeed("b", 4)
			time.Sleep(time.Second)
			at := s.vms.firstOrders("second")
			c.Check(at, qt.Not(qt.HasLen), 0, qt.Commentf("no order within a second of the takeover, planned %v", planned))
			s.setNeed("b", 0)
			s.setNeed("a", 5)
			time.Sleep(30 * time.Second)
			last := s.vms.lastOrders("first")
			for vm, when := range s.vms.firstOrders("second") {
				if before, ok := last[vm]; ok {
					c.Check(when.Sub(before) >= orderGap, qt.IsTrue, qt.Commentf("%s ordered %v after the former holder's order", vm, when.Sub(before)))
				}
			}
			second.Close()
		})
	}
}

// A wave that is requested right after a takeover is started.
func TestWaveAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{}}
		s.vms.list = []platform.Machine{{VM: "v1", Pool: "off", State: platform.MachineUp, Worker: "v1"}}
		r := s.open(c, "e", time.Now())
		s.mu.Lock()
		s.waves = []Wave{{ID: 1, VMs: []string{"v1"}, Within: time.Minute, MaxDown: 1}}
		s.mu.Unlock()
		time.Sleep(time.Second)
		c.Check(s.vms.firstOrders("e"), qt.HasLen, 1)
		r.Close()
	})
}

// The next holder's wait counts from the last announcement, not from its takeover.
func TestWaitAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": 3}}
		for _, vm := range []string{"v1", "v2", "v3", "v4"} {
			s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "off", State: platform.MachineUp, Worker: vm})
		}
		since := time.Now()
		first := s.open(c, "first", since)
		time.Sleep(100 * time.Millisecond)
		c.Assert(s.vms.firstOrders("first"), qt.HasLen, 4)
		first.Close()
		time.Sleep(1500 * time.Millisecond)
		s.setNeed("a", 0)
		s.setNeed("b", 3)
		takenOver := time.Now()
		second := s.open(c, "second", since)
		time.Sleep(10 * time.Second)
		for vm, at := range s.vms.firstOrders("second") {
			c.Check(at.Sub(takenOver) < 3200*time.Millisecond, qt.IsTrue, qt.Commentf("%s ordered %v after the takeover", vm, at.Sub(takenOver)))
		}
		c.Check(s.vms.firstOrders("second"), qt.Not(qt.HasLen), 0)
		second.Close()
	})
}

// A pool without usable workers gets VMs.
func TestPoolWithoutWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": 2}, unusablePool: "a"}
		for _, vm := range []string{"v1", "v2", "v3", "v4"} {
			s.vms.list = append(s.vms.list, platform.Machine{
				VM: vm, Pool: "off", State: platform.MachineUp, Worker: vm, Capacity: platform.Resources{CPU: 1000},
			})
		}
		r := s.open(c, "e", time.Now())
		time.Sleep(time.Second)
		c.Check(s.vms.firstOrders("e"), qt.HasLen, 4)
		r.Close()
	})
}
