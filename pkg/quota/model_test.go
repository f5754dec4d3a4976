package quota

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
)

// faults selects faults to inject, to check that the model detects them.
type faults struct {
	ignoresUnacked     bool // the allocator does not count grants in flight
	skipsSync          bool // a new allocator raises shares before all shards persisted its term
	acceptsFormerTerm  bool // a shard accepts grants of former allocators
	ignoresHidden      bool // a new shard owner does not count tasks that it has not discovered
	capsRunning        bool // a shard does not report running work above its share
	reportsUnpersisted bool // a shard reports a lower share before it is persisted
	acceptsStaleSeq    bool // a shard accepts out-of-date grants
	ignoresStopping    bool // tasks being stopped do not count
	lostTerm           bool // the row that replaces a lost one accepts grants of former allocators
	lostSeq            bool // the row that replaces a lost one accepts out-of-date grants
}

// model is a set of shards and allocators of one account, with messages that are delayed, repeated
// or lost.
type model struct {
	t          *rapid.T
	f          faults
	pools      []string
	rows       map[string]Row
	owners     map[string]*owner
	allocators []*Allocator
	grants     []message[Grant]
	reports    []message[Report]
	running    map[string]int  // tasks at workers, by pool
	lost       map[string]bool // pools whose row can't be read
	takeovers  int64

	delivered   [2]int // grants and reports that deliverAll has delivered
	unpersisted string // shard whose row deliverAll does not persist
}

// owner is the present owner of a shard.
type owner struct {
	shares   *ShardShares
	seen     int // running tasks that it started or discovered
	hidden   int // running tasks that it has not discovered
	stopping int // of seen: tasks being stopped
}

type message[T any] struct {
	pool      string
	allocator int // of a report: its receiver
	body      T
}

// taskSize is the size of a task, as a fraction of the limit.
const taskSize = 0.1

func newModel(t *rapid.T, f faults) *model {
	m := &model{t: t, f: f, rows: map[string]Row{}, owners: map[string]*owner{}, running: map[string]int{}, lost: map[string]bool{}}
	for i := range rapid.IntRange(2, 4).Draw(t, "shards") {
		pool := fmt.Sprintf("p%d", i)
		m.pools = append(m.pools, pool)
		m.takeOver(pool)
	}
	m.newAllocator()
	for range 3 { // initial exchange that gives every shard a share
		for at := range m.pools {
			m.poll(len(m.allocators)-1, at)
			m.persistRow(m.pools[at])
		}
		m.deliverAll()
	}
	return m
}

func (m *model) pool() string {
	return m.pools[rapid.IntRange(0, len(m.pools)-1).Draw(m.t, "pool")]
}

// takeOver has a new owner take over a shard. Running tasks are hidden from it until discovered.
func (m *model) takeOver(pool string) {
	m.takeovers++
	row := m.rows[pool]
	if m.lost[pool] {
		row = m.replacement()
	}
	o := &owner{shares: NewShardShares(row)}
	if !m.f.ignoresHidden {
		o.hidden = m.running[pool]
	}
	m.owners[pool] = o
}

// replacement returns the row of a shard whose persisted one is lost.
func (m *model) replacement() Row {
	r := LostRow(int64(len(m.allocators)), m.takeovers)
	if m.f.lostTerm {
		r.Term = 0
	}
	if m.f.lostSeq {
		r.Seq = 0
	}
	return r
}

func (m *model) newAllocator() {
	a := NewAllocator(int64(len(m.allocators) + 1))
	if m.f.skipsSync && len(m.allocators) > 0 {
		for _, p := range m.pools {
			a.status(p).synced, a.status(p).enforced = true, true
		}
	}
	m.allocators = append(m.allocators, a)
}

// counted returns the work that an owner counts as running, as a fraction of the limit.
func (m *model) counted(o *owner) float64 {
	n := o.seen + o.hidden
	if m.f.ignoresStopping {
		n -= o.stopping
	}
	return taskSize * float64(n)
}

// start starts a task if the shard's share allows it.
func (m *model) start(pool string) {
	o := m.owners[pool]
	share := o.shares.Share("a")
	if !o.shares.Enforced() || m.counted(o)+taskSize > share+epsilon {
		return
	}
	o.seen++
	m.running[pool]++
	sum := 0
	for _, n := range m.running {
		sum += n
	}
	if sum > 10 {
		m.t.Fatalf("%d tasks run, the limit is 10: %v", sum, m.running)
	}
}

// end ends a task known to the owner.
func (m *model) end(pool string) {
	o := m.owners[pool]
	if o.seen == 0 {
		return
	}
	o.seen--
	o.stopping = min(o.stopping, o.seen)
	m.running[pool]--
}

// discover has an owner discover all running tasks.
func (m *model) discover(pool string) {
	o := m.owners[pool]
	o.seen, o.hidden = m.running[pool], 0
}

func (m *model) stop(pool string) {
	if o := m.owners[pool]; o.stopping < o.seen {
		o.stopping++
	}
}

// persistRow persists an owner's row, as a transaction of the present owner does.
func (m *model) persistRow(pool string) {
	o := m.owners[pool]
	r := o.shares.Pending()
	r.Shares = maps.Clone(r.Shares)
	m.rows[pool] = r
	delete(m.lost, pool)
	o.shares.MarkPersisted(r)
}

// poll has an allocator, possibly a former one, send its grants and ask a shard for a report.
func (m *model) poll(at, pool int) {
	a := m.allocators[at]
	for p, g := range a.Plan(m.pools, []string{"a"}) {
		if m.f.ignoresUnacked {
			clear(a.status(p).unacked)
		}
		if p == m.pools[pool] || len(g.Shares) > 0 {
			m.grants = append(m.grants, message[Grant]{pool: p, allocator: at, body: g})
		}
	}
	m.report(m.pools[pool], at)
}

// report sends an allocator a shard's report.
func (m *model) report(pool string, allocator int) {
	o := m.owners[pool]
	r := o.shares.Report()
	r.Full = true
	demand := m.counted(o)
	if rapid.Bool().Draw(m.t, "waits") {
		demand += 0.8
	}
	share := o.shares.MaxShare("a")
	if m.f.reportsUnpersisted {
		r.Seq, share = o.shares.pending.Seq, o.shares.Share("a")
	}
	running := m.counted(o)
	if m.f.capsRunning {
		running = min(running, share)
	}
	r.Accounts = []Usage{{Account: "a", Running: running, Demand: demand, MinStart: taskSize, MaxShare: share}}
	m.reports = append(m.reports, message[Report]{pool: pool, allocator: allocator, body: r})
}

// deliver delivers a grant or a report, which may be delivered again.
func (m *model) deliver(grant bool, at int) {
	if grant {
		g := m.grants[at]
		o := m.owners[g.pool]
		if m.f.acceptsFormerTerm && g.body.Term < o.shares.pending.Term || m.f.acceptsStaleSeq && g.body.Term == o.shares.pending.Term && g.body.Seq < o.shares.pending.Seq {
			if len(g.body.Shares) > 0 {
				o.shares.pending.Shares = maps.Clone(g.body.Shares)
			}
			return
		}
		o.shares.Apply(g.body)
		return
	}
	r := m.reports[at]
	m.allocators[r.allocator].HandleReport(r.pool, r.body)
}

// deliverAll delivers all new messages once, in order.
func (m *model) deliverAll() {
	for i := m.delivered[0]; i < len(m.grants); i++ {
		m.deliver(true, i)
	}
	for _, p := range m.pools {
		if p != m.unpersisted {
			m.persistRow(p)
		}
		m.report(p, len(m.allocators)-1)
	}
	for i := m.delivered[1]; i < len(m.reports); i++ {
		m.deliver(false, i)
	}
	m.delivered = [2]int{len(m.grants), len(m.reports)}
}

// shiftWork moves all work to one pool, whose shard ends up with most of the limit.
func (m *model) shiftWork(pool string) {
	for _, p := range m.pools {
		for range 10 {
			if p != pool {
				m.end(p)
			}
		}
	}
	for range 3 {
		for range 10 {
			m.start(pool)
		}
		for at := range m.pools {
			m.poll(len(m.allocators)-1, at)
		}
		m.deliverAll()
	}
}

// loseRow moves work while one shard's row is not persisted, then replaces that shard's owner and
// possibly the allocator.
func (m *model) loseRow() {
	m.unpersisted = m.pool()
	m.shiftWork(m.pool())
	if rapid.Bool().Draw(m.t, "holder too") {
		m.newAllocator()
	}
	m.takeOver(m.unpersisted)
	m.unpersisted = ""
	if rapid.Bool().Draw(m.t, "found") {
		m.discover(m.pool())
	}
	for _, p := range m.pools {
		for range 10 {
			m.start(p)
		}
	}
}

// corruptRow has a new owner replace one whose row can't be read, and possibly moves work or replaces the allocator
// before. Grants that are still under way reach the new owner.
func (m *model) corruptRow() {
	pool := m.pool()
	sent := len(m.grants)
	m.shiftWork(pool)
	m.shiftWork(m.pool())
	if rapid.Bool().Draw(m.t, "holder too") {
		m.newAllocator()
		for at := range m.pools {
			m.poll(len(m.allocators)-1, at)
		}
		m.deliverAll()
	}
	m.lost[pool] = true
	m.takeOver(pool)
	if rapid.Bool().Draw(m.t, "found") {
		m.discover(pool)
	}
	if rapid.Bool().Draw(m.t, "late grants") && len(m.grants) > sent {
		at := rapid.IntRange(sent, len(m.grants)-1).Draw(m.t, "message")
		m.deliver(true, at)
	}
	for _, p := range m.pools {
		for range 10 {
			m.start(p)
		}
	}
}

// recent draws the index of one of the last messages, which may have been delivered before.
func recent[T any](t *rapid.T, all []message[T]) int {
	const window = 60
	return rapid.IntRange(max(0, len(all)-window), len(all)-1).Draw(t, "message")
}

func (m *model) step() {
	switch k := rapid.IntRange(0, 24).Draw(m.t, "kind"); {
	case k < 6:
		p := m.pool()
		for range rapid.IntRange(1, 10).Draw(m.t, "starts") {
			m.start(p)
		}
	case k < 9:
		m.end(m.pool())
	case k < 11:
		m.poll(rapid.IntRange(max(0, len(m.allocators)-2), len(m.allocators)-1).Draw(m.t, "holder"), rapid.IntRange(0, len(m.pools)-1).Draw(m.t, "asked"))
	case k < 13 && len(m.grants) > 0:
		m.deliver(true, recent(m.t, m.grants))
	case k < 15 && len(m.reports) > 0:
		m.deliver(false, recent(m.t, m.reports))
	case k == 15:
		m.persistRow(m.pool())
	case k == 16:
		m.takeOver(m.pool())
	case k == 17:
		m.discover(m.pool())
	case k == 18:
		m.stop(m.pool())
	case k == 19 && rapid.IntRange(0, 2).Draw(m.t, "replaced") == 0:
		m.newAllocator()
	case k == 20 || k == 21:
		m.shiftWork(m.pool())
	case k == 22 && rapid.IntRange(0, 3).Draw(m.t, "row") == 0:
		m.corruptRow()
	case k == 22:
		m.loseRow()
	case k == 23:
		for at := range m.pools {
			m.poll(len(m.allocators)-1, at)
		}
	default:
		m.deliverAll()
	}
}

func property(f faults) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newModel(t, f)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			m.step()
		}
	}
}

// Running work never exceeds the limit, across starts, ends, lost, late and repeated messages, new
// owners and new allocators.
func TestNeverAbove(t *testing.T) { prop.Check(t, property(faults{})) }

// The model detects each injected fault.
func TestNeverAboveDetectsFaults(t *testing.T) {
	for name, f := range map[string]faults{
		"grants in flight not counted":           {ignoresUnacked: true},
		"new allocator does not synchronize":     {skipsSync: true},
		"grants of former allocators accepted":   {acceptsFormerTerm: true},
		"undiscovered tasks not counted":         {ignoresHidden: true},
		"what runs above a share not reported":   {capsRunning: true},
		"lower shares reported before persisted": {reportsUnpersisted: true},
		"out-of-date grants accepted":            {acceptsStaleSeq: true},
		"stopping tasks not counted":             {ignoresStopping: true},
		"term of a lost row forgotten":           {lostTerm: true},
		"grants before a lost row accepted":      {lostSeq: true},
	} {
		t.Run(name, func(t *testing.T) { qt.Assert(t, prop.FindsFailure(t, property(f)), qt.IsTrue) })
	}
}
