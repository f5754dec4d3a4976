package fleetops

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// pause is how long another holder has to wait after an order for a VM.
const pause = 3 * time.Second

// vmService lists VMs and notes orders; it implements platform.Machines.
type vmService struct {
	mu     sync.Mutex
	list   []platform.Machine
	orders []order
}

// order is an order for a VM as the service has taken it.
type order struct {
	vm     string
	holder string
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
	s.orders = append(s.orders, order{vm: vm, holder: h.Name, at: time.Now()})
	for i := range s.list {
		if s.list[i].VM == vm {
			s.list[i].Pool, s.list[i].Boot = pool, s.list[i].Boot+"+"
		}
	}
	return nil
}

func (s *vmService) MaintainMachine(_ context.Context, vm string, _ int, h platform.Holder) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, order{vm: vm, holder: h.Name, at: time.Now()})
	return nil
}

// of returns the orders of a holder by VM.
func (s *vmService) of(holder string) map[string]time.Time {
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

// site is a deployment of two pools and a spare one whose demand a test sets.
type site struct {
	vms  vmService
	rows *fake.Rows

	mu    sync.Mutex
	need  map[string]int // VMs that a pool's tasks fill
	waves []Wave
}

func (s *site) requested() []Wave {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waves
}

func (s *site) load(_ context.Context, pool string) (l shard.Load, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.VMCapacity = platform.Resources{CPU: 1000}
	l.Used = platform.Resources{CPU: 1000 * s.need[pool]}
	s.vms.mu.Lock()
	defer s.vms.mu.Unlock()
	for _, m := range s.vms.list {
		if m.Pool == pool {
			l.Workers++
		}
	}
	return l, true
}

func (s *site) setNeed(pool string, vms int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.need[pool] = vms
}

func (s *site) open(c *qt.C, entry string, since time.Time) *Runner {
	rows := s.rows.As(entry)
	seen, err := shard.ReadOwner(context.Background(), rows, Partition)
	c.Assert(err, qt.IsNil)
	cat := catalog.New(catalog.Catalog{Pools: []catalog.Pool{{Name: "a"}, {Name: "b"}, {Name: "off", Spare: true}}})
	r, err := Open(context.Background(), Config{
		Self: shard.Identity{Entry: entry}, Log: zerolog.Nop(), Since: since, Rows: rows, Machines: &s.vms,
		Empty: func(context.Context, string, string) bool { return true }, Load: s.load,
		Report: func(int, bool) (platform.Row, error) { return platform.Row{}, nil },
		Waves:  s.requested,
		Pause:  pause, Sending: func() {}, OnOver: func(error) {},
	}, seen.Version, cat)
	c.Assert(err, qt.IsNil)
	return r
}

// TestHandover has a holder end, by plan or not, after orders for some VMs: the
// next one keeps its distance for those, and gives orders for others at once.
func TestHandover(t *testing.T) {
	for _, planned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := &site{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": 1, "b": 1}}
			for _, vm := range []string{"v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8", "v9"} {
				s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "off", State: platform.MachineUp, Boot: vm})
			}
			since := time.Now()
			first := s.open(c, "first", since)
			time.Sleep(time.Second)
			ordered := s.vms.of("first")
			c.Assert(ordered, qt.Not(qt.HasLen), 0)
			ended := time.Now()
			if planned {
				first.Release(context.Background(), "")
			} else {
				first.Close()
			}
			second := s.open(c, "second", since)
			s.setNeed("b", 4)
			time.Sleep(time.Second)
			at := s.vms.of("second")
			c.Check(at, qt.Not(qt.HasLen), 0, qt.Commentf("no order within a second of the takeover, planned %v", planned))
			s.setNeed("b", 0)
			s.setNeed("a", 5)
			time.Sleep(30 * time.Second)
			for vm, when := range s.vms.of("second") {
				if _, ok := ordered[vm]; ok {
					c.Check(when.Sub(ended) >= pause, qt.IsTrue, qt.Commentf("%s ordered after %v", vm, when.Sub(ended)))
				}
			}
			second.Close()
		})
	}
}

// TestWaveAfterTakeover has a wave requested when a holder has just taken the work
// over: it is begun all the same.
func TestWaveAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &site{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{}}
		s.vms.list = []platform.Machine{{VM: "v1", Pool: "off", State: platform.MachineUp, Boot: "v1"}}
		r := s.open(c, "e", time.Now())
		s.mu.Lock()
		s.waves = []Wave{{ID: 1, VMs: []string{"v1"}, Within: time.Minute, MaxDown: 1}}
		s.mu.Unlock()
		time.Sleep(time.Second)
		c.Check(s.vms.of("e"), qt.HasLen, 1)
		r.Close()
	})
}
