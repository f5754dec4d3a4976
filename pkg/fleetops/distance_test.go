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

// distanceMachine draws what happens to entries that hold the fleet's work one
// after the other, and at times together.
type distanceMachine struct {
	t       *rapid.T
	s       *site
	since   time.Time
	holders map[string]*Runner
	names   []string // of the entries, in the order in which they took the work over

	mu         sync.Mutex
	thaws      map[string]time.Time  // when a frozen entry goes on
	rowFaults  map[string]fake.Fault // by entry, * for all
	lostAnswer map[string]bool       // entries whose orders get no answer
}

// distance plays one drawn course of events, and sees that the orders for one VM
// by two holders keep their distance and come in the order of their tokens.
func distance(plant func(m *distanceMachine)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newDistanceMachine(t)
		if plant != nil {
			plant(m)
		}
		m.takeOver()
		for range rapid.IntRange(4, 16).Draw(t, "steps") {
			m.step()
			time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond)
		}
		m.settle()
		if broken := m.broken(); len(broken) > 0 {
			t.Fatalf("%s", strings.Join(broken, "\n"))
		}
	}
}

func newDistanceMachine(t *rapid.T) *distanceMachine {
	m := &distanceMachine{
		t: t, since: time.Now(), holders: map[string]*Runner{}, thaws: map[string]time.Time{},
		rowFaults: map[string]fake.Fault{}, lostAnswer: map[string]bool{},
		s: &site{rows: fake.NewRows(4*time.Millisecond, 2*time.Second), need: map[string]int{"a": 1, "b": 1}},
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

func (m *distanceMachine) step() {
	kinds := []func(){m.demand, m.demand, m.demand, m.takeOver, m.takeOver, m.kill, m.release, m.freeze, m.rowFault, m.outage, m.loseAnswers, m.heal}
	kinds[rapid.IntRange(0, len(kinds)-1).Draw(m.t, "kind")]()
}

func (m *distanceMachine) demand() {
	for _, pool := range []string{"a", "b"} {
		m.s.setNeed(pool, rapid.IntRange(0, 4).Draw(m.t, pool))
	}
}

// takeOver lets a new entry take the work over while the former ones go on.
func (m *distanceMachine) takeOver() {
	name := fmt.Sprintf("e%d", len(m.names))
	m.names = append(m.names, name)
	if r, err := m.s.tryOpen(name, m.since); err == nil {
		m.holders[name] = r
	}
}

func (m *distanceMachine) last() (name string, r *Runner) {
	for _, n := range m.names {
		if m.holders[n] != nil {
			name = n
		}
	}
	return name, m.holders[name]
}

func (m *distanceMachine) kill() {
	if name, r := m.last(); r != nil {
		r.Close()
		delete(m.holders, name)
		m.takeOver()
	}
}

func (m *distanceMachine) release() {
	if name, r := m.last(); r != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r.Release(ctx, "")
		delete(m.holders, name)
		m.takeOver()
	}
}

func (m *distanceMachine) freeze() {
	name, _ := m.last()
	d := time.Duration(rapid.IntRange(300, 6000).Draw(m.t, "frozen")) * time.Millisecond
	m.locked(func() { m.thaws[name] = time.Now().Add(d) })
}

func (m *distanceMachine) rowFault() {
	name, _ := m.last()
	f := rapid.SampledFrom([]fake.Fault{fake.FaultDown, fake.FaultLostAfter, fake.FaultLate}).Draw(m.t, "fault")
	m.locked(func() { m.rowFaults[name] = f })
}

func (m *distanceMachine) outage() { m.locked(func() { m.rowFaults["*"] = fake.FaultDown }) }

func (m *distanceMachine) loseAnswers() {
	name, _ := m.last()
	m.locked(func() { m.lostAnswer[name] = true })
}

func (m *distanceMachine) heal() {
	m.locked(func() {
		clear(m.rowFaults)
		clear(m.lostAnswer)
	})
}

func (m *distanceMachine) settle() {
	m.heal()
	m.takeOver()
	m.demand()
	time.Sleep(10 * time.Second)
	for _, r := range m.holders {
		r.Close()
	}
}

func (m *distanceMachine) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// await waits while an entry is frozen.
func (m *distanceMachine) await(entry string) {
	var thaw time.Time
	m.locked(func() { thaw = m.thaws[entry] })
	time.Sleep(time.Until(thaw))
}

// broken tells which orders came too close to another holder's, or after a later holder's.
func (m *distanceMachine) broken() (broken []string) {
	m.s.vms.mu.Lock()
	defer m.s.vms.mu.Unlock()
	before := map[string]order{}
	for _, o := range m.s.vms.orders {
		p, ok := before[o.vm]
		before[o.vm] = o
		switch {
		case !ok || p.holder == o.holder:
		case o.token <= p.token:
			broken = append(broken, fmt.Sprintf("%s: order of %s (token %d) after one of %s (token %d)", o.vm, o.holder, o.token, p.holder, p.token))
		case o.at.Sub(p.at) < pause:
			broken = append(broken, fmt.Sprintf("%s: order of %s %v after one of %s", o.vm, o.holder, o.at.Sub(p.at), p.holder))
		}
	}
	return broken
}

// frozenRows is the table service as an entry reaches it that may be frozen
// before a call and before it sees the answer.
type frozenRows struct {
	platform.Rows
	m     *distanceMachine
	entry string
}

func (f frozenRows) CommitRows(ctx context.Context, txn platform.RowTxn) (int64, error) {
	f.m.await(f.entry)
	version, err := f.Rows.CommitRows(ctx, txn)
	f.m.await(f.entry)
	return version, err
}

func (f frozenRows) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	f.m.await(f.entry)
	page, err := f.Rows.ListRows(ctx, table, partition, from)
	f.m.await(f.entry)
	return page, err
}

// frozenVMs is the VM service as such an entry reaches it.
type frozenVMs struct {
	platform.Machines
	m     *distanceMachine
	entry string
}

func (f frozenVMs) ListMachines(ctx context.Context) ([]platform.Machine, error) {
	f.m.await(f.entry)
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

// TestDistance holds orders of several holders for one VM apart over drawn courses
// of takeovers, ends, freezes, outages of the table service, and late writes.
func TestDistance(t *testing.T) { prop.Check(t, distance(nil)) }

// TestDistanceFindsPlanted shows that holders are found whose clocks differ, whose
// announcements are not kept or have no preconditions, and that do not read them.
func TestDistanceFindsPlanted(t *testing.T) {
	lead := time.Duration(0)
	for name, breaks := range map[string]func(rows platform.Rows) platform.Rows{
		"the next holder's clock is ahead": func(rows platform.Rows) platform.Rows {
			lead += 2 * time.Second
			return ahead{Rows: rows, by: lead}
		},
		"announcements are not kept":              func(rows platform.Rows) platform.Rows { return forgetful{rows} },
		"announcements without preconditions":     func(rows platform.Rows) platform.Rows { return unconditional{rows} },
		"what a former holder announced is empty": func(rows platform.Rows) platform.Rows { return blind{rows} },
	} {
		t.Run(name, func(t *testing.T) {
			found := prop.FindsFailure(t, distance(func(m *distanceMachine) {
				whole := m.s.rowsOf
				m.s.rowsOf = func(entry string, rows platform.Rows) platform.Rows { return breaks(whole(entry, rows)) }
			}))
			qt.Assert(t, found, qt.IsTrue)
		})
	}
}

// ahead is a table service that shows a clock that is ahead of its own.
type ahead struct {
	platform.Rows
	by time.Duration
}

func (a ahead) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	page, err := a.Rows.ListRows(ctx, table, partition, from)
	page.Now += a.by
	return page, err
}

// forgetful keeps no announcements.
type forgetful struct{ platform.Rows }

func (f forgetful) CommitRows(ctx context.Context, txn platform.RowTxn) (int64, error) {
	if len(txn.Put) == 1 && txn.Put[0].RowKey == announcementKey {
		txn.Put = nil
		txn.Expect = txn.Expect[:1]
	}
	return f.Rows.CommitRows(ctx, txn)
}

// unconditional carries announcements out whoever owns the work.
type unconditional struct{ platform.Rows }

func (u unconditional) CommitRows(ctx context.Context, txn platform.RowTxn) (int64, error) {
	if len(txn.Put) == 1 && txn.Put[0].RowKey == announcementKey {
		txn.Expect = nil
	}
	return u.Rows.CommitRows(ctx, txn)
}

// blind shows no announcements.
type blind struct{ platform.Rows }

func (b blind) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	page, err := b.Rows.ListRows(ctx, table, partition, from)
	if table == announcementKey.Table {
		page.Rows = nil
	}
	return page, err
}
