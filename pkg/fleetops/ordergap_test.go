package fleetops

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// orderGapScenario applies random events to successive holders of the fleet operations, which may
// overlap.
type orderGapScenario struct {
	t       *rapid.T
	s       *testFleet
	since   time.Time
	holders map[string]*Runner
	names   []string // of the entries, in the order of their takeovers

	mu          sync.Mutex
	frozenUntil map[string]time.Time  // end of the freeze, by entry
	rowFaults   map[string]fake.Fault // by entry, * for all
	lostAnswer  map[string]bool       // entries whose orders are not answered
}

// orderGapProperty checks that two holders' orders for one VM keep the minimum gap and come in the
// order of their tokens. inject may break the services.
func orderGapProperty(inject func(m *orderGapScenario)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newOrderGapScenario(t)
		if inject != nil {
			inject(m)
		}
		m.takeOver()
		for range rapid.IntRange(4, 16).Draw(t, "steps") {
			m.step()
			time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond)
		}
		m.settle()
		if violations := m.violations(); len(violations) > 0 {
			t.Fatalf("%s", strings.Join(violations, "\n"))
		}
	}
}

func newOrderGapScenario(t *rapid.T) *orderGapScenario {
	m := &orderGapScenario{
		t: t, since: time.Now(), holders: map[string]*Runner{}, frozenUntil: map[string]time.Time{},
		rowFaults: map[string]fake.Fault{}, lostAnswer: map[string]bool{},
		s: &testFleet{rows: fake.NewRows(4*time.Millisecond, 2*time.Second), need: map[string]int{"a": 1, "b": 1}},
	}
	for i := range 8 {
		vm := fmt.Sprintf("v%d", i)
		m.s.vms.list = append(m.s.vms.list, platform.Machine{VM: vm, Pool: "off", State: platform.MachineUp, Worker: vm})
	}
	m.s.rows.SetFault(func(_ fake.RowOp, entry string) fake.Fault {
		m.mu.Lock()
		defer m.mu.Unlock()
		if f, ok := m.rowFaults[entry]; ok {
			return f
		}
		return m.rowFaults["*"]
	})
	m.s.rowsOf = func(entry string, rows platform.Rows) platform.Rows {
		return frozenRows{Rows: rows, m: m, entry: entry}
	}
	m.s.vmsOf = func(entry string, vms platform.Machines) platform.Machines {
		return frozenVMs{Machines: vms, m: m, entry: entry}
	}
	return m
}

func (m *orderGapScenario) step() {
	kinds := []func(){m.demand, m.demand, m.demand, m.takeOver, m.takeOver, m.kill, m.release, m.freeze, m.rowFault, m.outage, m.loseAnswers, m.heal}
	kinds[rapid.IntRange(0, len(kinds)-1).Draw(m.t, "kind")]()
}

func (m *orderGapScenario) demand() {
	for _, pool := range []string{"a", "b"} {
		m.s.setNeed(pool, rapid.IntRange(0, 4).Draw(m.t, pool))
	}
}

// takeOver has a new entry take over while former holders keep running.
func (m *orderGapScenario) takeOver() {
	name := fmt.Sprintf("e%d", len(m.names))
	m.names = append(m.names, name)
	if r, err := m.s.tryOpen(name, m.since); err == nil {
		m.holders[name] = r
	}
}

func (m *orderGapScenario) last() (name string, r *Runner) {
	for _, n := range m.names {
		if m.holders[n] != nil {
			name = n
		}
	}
	return name, m.holders[name]
}

func (m *orderGapScenario) kill() {
	if name, r := m.last(); r != nil {
		r.Close()
		delete(m.holders, name)
		m.takeOver()
	}
}

func (m *orderGapScenario) release() {
	if name, r := m.last(); r != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r.Release(ctx, "")
		delete(m.holders, name)
		m.takeOver()
	}
}

func (m *orderGapScenario) freeze() {
	name, _ := m.last()
	d := time.Duration(rapid.IntRange(300, 6000).Draw(m.t, "frozen")) * time.Millisecond
	m.locked(func() { m.frozenUntil[name] = time.Now().Add(d) })
}

func (m *orderGapScenario) rowFault() {
	name, _ := m.last()
	f := rapid.SampledFrom([]fake.Fault{fake.FaultDown, fake.FaultLostAfter, fake.FaultLate}).Draw(m.t, "fault")
	m.locked(func() { m.rowFaults[name] = f })
}

func (m *orderGapScenario) outage() { m.locked(func() { m.rowFaults["*"] = fake.FaultDown }) }

func (m *orderGapScenario) loseAnswers() {
	name, _ := m.last()
	m.locked(func() { m.lostAnswer[name] = true })
}

func (m *orderGapScenario) heal() {
	m.locked(func() {
		clear(m.rowFaults)
		clear(m.lostAnswer)
	})
}

func (m *orderGapScenario) settle() {
	m.heal()
	m.takeOver()
	m.demand()
	time.Sleep(10 * time.Second)
	for _, r := range m.holders {
		r.Close()
	}
}

func (m *orderGapScenario) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// waitWhileFrozen blocks while an entry is frozen.
func (m *orderGapScenario) waitWhileFrozen(entry string) {
	var until time.Time
	m.locked(func() { until = m.frozenUntil[entry] })
	time.Sleep(time.Until(until))
}

// violations returns the orders that came too soon after another holder's, or without a newer
// token.
func (m *orderGapScenario) violations() (found []string) {
	m.s.vms.mu.Lock()
	defer m.s.vms.mu.Unlock()
	before := map[string]order{}
	for _, o := range m.s.vms.orders {
		p, ok := before[o.vm]
		before[o.vm] = o
		switch {
		case !ok || p.holder == o.holder:
		case o.token <= p.token:
			found = append(found, fmt.Sprintf("%s: order of %s (token %d) after one of %s (token %d)", o.vm, o.holder, o.token, p.holder, p.token))
		case o.at.Sub(p.at) < orderGap:
			found = append(found, fmt.Sprintf("%s: order of %s %v after one of %s", o.vm, o.holder, o.at.Sub(p.at), p.holder))
		}
	}
	return found
}

// frozenRows is the table service as seen by an entry that may freeze before a call and before it
// sees the answer.
type frozenRows struct {
	platform.Rows
	m     *orderGapScenario
	entry string
}

func (f frozenRows) CommitRows(ctx context.Context, txn platform.RowTxn) (int64, error) {
	f.m.waitWhileFrozen(f.entry)
	version, err := f.Rows.CommitRows(ctx, txn)
	f.m.waitWhileFrozen(f.entry)
	return version, err
}

func (f frozenRows) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	f.m.waitWhileFrozen(f.entry)
	page, err := f.Rows.ListRows(ctx, table, partition, from)
	f.m.waitWhileFrozen(f.entry)
	return page, err
}

// frozenVMs is the VM service as seen by an entry that may freeze before a call.
type frozenVMs struct {
	platform.Machines
	m     *orderGapScenario
	entry string
}

func (f frozenVMs) ListMachines(ctx context.Context) ([]platform.Machine, error) {
	f.m.waitWhileFrozen(f.entry)
	return f.Machines.ListMachines(ctx)
}

func (f frozenVMs) MoveMachine(ctx context.Context, vm, pool string, h platform.Holder) (err error) {
	var lost bool
	f.m.locked(func() { lost = f.m.lostAnswer[f.entry] })
	time.Sleep(orderTransit / 2)
	err = f.Machines.MoveMachine(ctx, vm, pool, h)
	if lost {
		<-ctx.Done()
		return platform.ErrUnknown{Op: "move", Cause: ctx.Err().Error()}
	}
	return err
}

// Two holders' orders for one VM keep the minimum gap across takeovers, crashes, frozen entries,
// table outages and delayed writes.
func TestOrderGap(t *testing.T) { prop.Check(t, orderGapProperty(nil)) }

// The property detects a table clock that differs between holders, announcements that are lost or
// unconditional, and holders that do not read them.
func TestOrderGapDetectsFaults(t *testing.T) {
	ahead := time.Duration(0)
	for name, wrap := range map[string]func(rows platform.Rows) platform.Rows{
		"the next holder's clock is ahead": func(rows platform.Rows) platform.Rows {
			ahead += 2 * time.Second
			return clockAhead{Rows: rows, by: ahead}
		},
		"announcements are dropped":              func(rows platform.Rows) platform.Rows { return droppedAnnouncements{rows} },
		"announcements without preconditions":    func(rows platform.Rows) platform.Rows { return noPreconditions{rows} },
		"announcements of former holders hidden": func(rows platform.Rows) platform.Rows { return hiddenAnnouncements{rows} },
	} {
		t.Run(name, func(t *testing.T) {
			found := prop.FindsFailure(t, orderGapProperty(func(m *orderGapScenario) {
				rowsOf := m.s.rowsOf
				m.s.rowsOf = func(entry string, rows platform.Rows) platform.Rows { return wrap(rowsOf(entry, rows)) }
			}))
			qt.Assert(t, found, qt.IsTrue)
		})
	}
}

// clockAhead shows a table service clock that runs ahead.
type clockAhead struct {
	platform.Rows
	by time.Duration
}

func (c clockAhead) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	page, err := c.Rows.ListRows(ctx, table, partition, from)
	page.Now += c.by
	return page, err
}

// droppedAnnouncements does not store announcements.
type droppedAnnouncements struct{ platform.Rows }

func (d droppedAnnouncements) CommitRows(ctx context.Context, txn platform.RowTxn) (int64, error) {
	if len(txn.Put) == 1 && txn.Put[0].RowKey == announcementKey {
		txn.Put = nil
		txn.Expect = txn.Expect[:1]
	}
	return d.Rows.CommitRows(ctx, txn)
}

// noPreconditions commits announcements even if another entry took over.
type noPreconditions struct{ platform.Rows }

func (n noPreconditions) CommitRows(ctx context.Context, txn platform.RowTxn) (int64, error) {
	if len(txn.Put) == 1 && txn.Put[0].RowKey == announcementKey {
		txn.Expect = nil
	}
	return n.Rows.CommitRows(ctx, txn)
}

// hiddenAnnouncements returns no announcements.
type hiddenAnnouncements struct{ platform.Rows }

func (h hiddenAnnouncements) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	page, err := h.Rows.ListRows(ctx, table, partition, from)
	if table == announcementKey.Table {
		page.Rows = nil
	}
	return page, err
}
