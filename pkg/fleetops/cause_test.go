package fleetops

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// newCauseRunner returns a runner whose clock and the table service's show 1 min.
func newCauseRunner() *Runner {
	r := &Runner{
		cfg: Config{Clock: elapsed.New(elapsed.WithOrigin(time.Now().Add(-time.Minute))), OrderGap: 3 * time.Second, MaintenanceTime: 2 * time.Second},
		log: zerolog.Nop(), formerOrders: orderBook{}, announced: orderBook{}, sent: sentOrders{}, waves: map[int]*wave{}, moves: map[string]*move{},
		catalog: catalog.New(catalog.Catalog{}),
	}
	r.clock = tableClock{serverTime: r.now(), sent: r.now(), received: r.now()}
	return r
}

// TestMaintainedFor guards against a conclusion from a VM's state where an order for another wave, a move
// or nobody's order may be the cause.
func TestMaintainedFor(t *testing.T) {
	const now = time.Minute
	former := func(wave int, until time.Duration) func(r *Runner) {
		return func(r *Runner) { r.formerOrders.add(announcedOrder{VM: "v", Wave: wave, Until: until}) }
	}
	sent := func(wave int, at time.Duration, answers ...OrderAnswer) func(r *Runner) {
		return func(r *Runner) {
			for _, answer := range answers {
				r.sent.begin("v", wave, at)
				r.sent.end("v", wave, at, answer)
			}
		}
	}
	malformed := func(at time.Duration) func(r *Runner) { return func(r *Runner) { r.noOrdersBefore = at } }
	for name, tc := range map[string]struct {
		known []func(r *Runner)
		want  bool
	}{
		"nobody's":                           {nil, false},
		"a former holder's":                  {[]func(r *Runner){former(1, now-time.Second)}, true},
		"a former holder's, long ago":        {[]func(r *Runner){former(1, now-4*time.Second)}, false},
		"a former holder's for another":      {[]func(r *Runner){former(2, now)}, false},
		"former holders' for two":            {[]func(r *Runner){former(1, now), former(2, now-time.Second)}, false},
		"former holders' for two, one past":  {[]func(r *Runner){former(1, now), former(2, now-4*time.Second)}, true},
		"a former holder's move as well":     {[]func(r *Runner){former(1, now), former(0, now)}, true},
		"a former holder's move only":        {[]func(r *Runner){former(0, now)}, false},
		"a former holder's, and wave 0":      {[]func(r *Runner){former(1, now), former(0, now), func(r *Runner) { r.waves[0] = &wave{} }}, false},
		"a former holder's, and ours":        {[]func(r *Runner){former(1, now), sent(2, now, OrderUnanswered)}, false},
		"a former holder's, ours refused":    {[]func(r *Runner){former(1, now), sent(2, now, OrderRefused)}, true},
		"a former holder's, ours accepted":   {[]func(r *Runner){former(1, now), sent(2, now, OrderAccepted)}, false},
		"ours":                               {[]func(r *Runner){sent(1, now, OrderUnanswered)}, true},
		"ours, long ago":                     {[]func(r *Runner){sent(1, now-4*time.Second, OrderUnanswered)}, false},
		"ours, refused":                      {[]func(r *Runner){sent(1, now, OrderRefused)}, false},
		"ours, refused twice":                {[]func(r *Runner){sent(1, now, OrderRefused, OrderRefused)}, false},
		"ours, refused after one unanswered": {[]func(r *Runner){sent(1, now, OrderUnanswered, OrderRefused)}, true},
		"ours for two":                       {[]func(r *Runner){sent(1, now, OrderUnanswered), sent(2, now, OrderUnanswered, OrderRefused)}, false},
		"unknown former holders'":            {[]func(r *Runner){malformed(now - time.Second), sent(1, now, OrderUnanswered)}, false},
		"unknown former holders', past":      {[]func(r *Runner){malformed(now - 4*time.Second), sent(1, now, OrderUnanswered)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newCauseRunner()
				for _, know := range tc.known {
					know(r)
				}
				qt.Check(t, r.maintainedFor("v", 1), qt.Equals, tc.want)
			})
		})
	}
}

// A VM that was moved is not taken to be maintained for a wave that is numbered 0.
func TestNoWaveFromMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCauseRunner()
		r.formerOrders.add(announcedOrder{VM: "v", Until: time.Minute})
		qt.Check(t, r.maintainedFor("v", 0), qt.IsFalse)
	})
}

// The next holder learns of each order that may be the cause of what the VM list shows, for each wave, also
// after the order gap; an earlier version goes by the latest.
func TestAnnouncedPerWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newCauseRunner()
		past := time.Minute - 3500*time.Millisecond // within shownFor, after the order gap
		r.formerOrders.add(announcedOrder{VM: "v", Wave: 1, Until: past, Boot: "b"})
		next := r.mergedAnnouncement([]vmOrder{{vm: "v", wave: 2, boot: "b+"}})
		c.Check(next.sorted(), qt.DeepEquals, []announcedOrder{
			{VM: "v", Wave: 1, Until: past, Boot: "b"}, {VM: "v", Wave: 2, Until: time.Minute + orderWindow, Boot: "b+"},
		})
	})
}

// A VM that is being drained and goes into maintenance for another wave is not ordered while it is down.
func TestNotOrderedWhileDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCauseRunner()
		w := &wave{Wave: Wave{ID: 1}, vms: []*VM{{Name: "v", Phase: PhaseDraining}}}
		r.updatePhases(w, map[string]platform.Machine{"v": {VM: "v", State: platform.MachineMaintenance}})
		qt.Check(t, w.vms[0].Phase, qt.Equals, PhaseWaiting)
	})
}

// A VM whose order got no answer waits for every wave until it can't be carried out any more, and then goes
// last for that wave only.
func TestOrderInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newCauseRunner()
		machines := map[string]platform.Machine{"v": {VM: "v", Worker: "b", State: platform.MachineUp}}
		first := &wave{Wave: Wave{ID: 1}, vms: []*VM{{Name: "v", Phase: PhaseWaiting}}}
		second := &wave{Wave: Wave{ID: 2}, vms: []*VM{{Name: "v", Phase: PhaseWaiting}}}
		r.sent.begin("v", 1, r.now())
		view := func(w *wave) View { return r.newView(w, machines) }
		for _, w := range []*wave{first, second} {
			c.Check(view(w).RecentlyOrdered["v"], qt.IsTrue)
			c.Check(view(w).MaybeDone["v"], qt.Equals, w == first)
		}
		time.Sleep(orderTransit + maxListLag)
		for _, w := range []*wave{first, second} {
			c.Check(view(w).RecentlyOrdered["v"], qt.IsFalse)
			c.Check(view(w).MaybeDone["v"], qt.Equals, w == first)
		}
	})
}

// TestBootBeforeOrder guards against too many VMs down at once: a VM that was ordered is taken for back since a late list
// shows the boot that it had when it was ordered.
func TestBootBeforeOrder(t *testing.T) {
	c := qt.New(t)
	up := func(worker string) platform.Machine {
		return platform.Machine{State: platform.MachineUp, Worker: worker}
	}
	v := &VM{Phase: PhaseOrdered, Worker: "b1", unseen: true}
	v.accept(time.Second)
	c.Check(v.returned(up("b2"), 2*time.Second, 2*time.Second), qt.IsFalse)
	c.Check(v.returned(up("b3"), 3100*time.Millisecond, 2*time.Second), qt.IsTrue)
	v.unseen = false // the list has shown it down
	c.Check(v.returned(up("b2"), 2*time.Second, 2*time.Second), qt.IsTrue)

	r := newCauseRunner()
	v = &VM{Name: "v", Phase: PhaseOrdered, Worker: "b1", unseen: true}
	v.accept(r.now())
	w := &wave{Wave: Wave{ID: 1}, vms: []*VM{v}}
	r.updatePhases(w, map[string]platform.Machine{"v": {VM: "v", State: platform.MachineMaintenance}})
	r.updatePhases(w, map[string]platform.Machine{"v": up("b2")})
	c.Check(v.Phase, qt.Equals, PhaseDone)
}
