package shard_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// movingRoute is the route of the queue that changes its pool.
const movingRoute = "jobs.example/moving/"

// movingPools are the pools that may have it.
var movingPools = []string{"alpha", "beta", "gamma"}

// routing is a version of the configuration, which sends the queue to a pool.
type routing struct {
	version int64
	pool    string
}

// movingQueue runs the owners of several pools that a queue moves between. It submits jobs as entries do that know
// different versions of the configuration.
type movingQueue struct {
	t       fataler
	since   time.Time
	rows    *fake.Rows
	log     sharedLog
	entries int
	faults  sync.Map // fake.Fault by operation on rows

	// injected bugs
	wrapRows   func(platform.Rows) platform.Rows
	skipClose  bool // closing a queue is reported without being carried out
	skipSearch bool // jobs are never found in former pools

	searching func() // called once when a job is sought in former pools
	left      func() // called once when a queue has left, before the claimer knows

	mu       sync.Mutex
	owners   map[string][]*shard.Owner // by pool, the latest last; earlier ones may not know that they were replaced
	accepted map[string]bool           // jobs
	unsure   map[string]bool           // jobs of which a submission had an unknown outcome
	sent     []string                  // jobs
	loseNext int                       // answers to CloseQueue that get lost

	versions []routing
}

func newMovingQueue(t fataler) *movingQueue {
	m := &movingQueue{t: t, since: time.Now(), rows: fake.NewRows(4*time.Millisecond, time.Second), owners: map[string][]*shard.Owner{}, accepted: map[string]bool{}, unsure: map[string]bool{}}
	m.rows.SetFault(func(op fake.RowOp, _ string) fake.Fault {
		if f, ok := m.faults.Load(op); ok {
			return f.(fake.Fault)
		}
		return fake.FaultNone
	})
	m.versions = []routing{{1, movingPools[0]}}
	return m
}

func (m *movingQueue) close() {
	for _, os := range m.owners {
		for _, o := range os {
			o.Close()
		}
	}
}

// open starts the next owner of a pool; it reports whether that took over.
func (m *movingQueue) open(pool string) bool {
	m.entries++
	name := fmt.Sprintf("e%d", m.entries)
	rows := m.rows.As(name)
	if m.wrapRows != nil {
		rows = m.wrapRows(rows)
	}
	row, err := shard.ReadOwner(context.Background(), rows, pool)
	if err != nil {
		return false
	}
	workers := fake.NewWorkers(time.Millisecond, time.Second, 50*time.Millisecond, nil, nil)
	o, err := shard.Open(context.Background(), shard.Config{
		Pool: pool, Self: shard.Identity{Entry: name, Start: int64(m.entries), Address: name}, Clock: elapsed.New(elapsed.WithOrigin(m.since)),
		Rows: rows, Workers: workers.As(name), Retention: time.Hour, MaxLease: fake.MaxLease, Metrics: shard.NoMetrics{},
		StoreUptime: func() time.Duration { return time.Since(m.since) }, OnGivenUp: func(error) {}, BeforeTakeover: func() {},
		Log:        zerolog.New(&m.log).With().Str("entry", name).Logger(),
		CloseQueue: m.closeQueue, FindJob: m.findJob,
	}, shard.ObservedOwner{Version: row.Version}, catalog.New(catalog.Catalog{Version: 1}), nil)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owners[pool] = append(m.owners[pool], o)
	return true
}

// owner returns the owner of a pool that the n-th of the entries knows, nil if there is none: the latest one, but for
// every fourth entry the one before.
func (m *movingQueue) owner(pool string, n int) *shard.Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	os := m.owners[pool]
	switch {
	case len(os) == 0:
		return nil
	case n%4 == 3 && len(os) > 1:
		return os[len(os)-2]
	default:
		return os[len(os)-1]
	}
}

func (m *movingQueue) closeQueue(ctx context.Context, pool, route string, version int64, to string) error {
	if m.skipClose {
		return nil
	}
	o := m.owner(pool, 0)
	if o == nil {
		return errors.New("no owner")
	}
	out := o.CloseQueue(ctx, route, version, to)
	if f := m.left; f != nil {
		m.left = nil
		f()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loseNext > 0 {
		m.loseNext--
		return errors.New("the answer was lost")
	}
	if out != schema.CallOutcomeOk {
		return errors.New(string(out))
	}
	return nil
}

func (m *movingQueue) findJob(ctx context.Context, former shard.QueuePools, _, id string, by shard.Requester) schema.CallOutcome {
	if m.skipSearch {
		return schema.CallOutcomeNotFound
	}
	if f := m.searching; f != nil {
		m.searching = nil
		f()
	}
	for _, p := range former {
		found, err := shard.FindJob(ctx, m.rows.As("finder"), p.Pool, id, by)
		if err != nil {
			return schema.CallOutcomeRefused
		}
		if found {
			return schema.CallOutcomeOk
		}
	}
	return schema.CallOutcomeNotFound
}

// submit submits a job as the n-th entry does, which knows a version of the configuration.
func (m *movingQueue) submit(n int, known routing, id string) {
	spec := jobs.Spec{Steps: []jobs.Step{{Count: 1, Needs: platform.Resources{CPU: 1000}}}}
	version, pool := known.version, known.pool
	for range 3 {
		o := m.owner(pool, n)
		if o == nil {
			return
		}
		out := o.Submit(context.Background(), id, jobs.Record{Queue: "q", Route: movingRoute, CatalogVersion: version, MaxAttempts: 3, Spec: spec})
		m.mu.Lock()
		m.accepted[id] = m.accepted[id] || out == schema.CallOutcomeOk
		m.unsure[id] = m.unsure[id] || out == schema.CallOutcomeUnknown
		m.mu.Unlock()
		info := o.Queue(movingRoute)
		if out != schema.CallOutcomeMoved || len(info.Others) == 0 {
			return
		}
		version, pool = max(version, info.Version), info.Others[0]
	}
}

// check checks that each job is in one pool at most, in one if it was accepted, and in none if it was refused, and that
// the stored pools of the queue name that one.
func (m *movingQueue) check() {
	rows := m.rows.As(fake.Operator)
	pools, err := shard.ReadQueuePools(context.Background(), rows, movingRoute)
	if err != nil {
		m.t.Fatal(err)
	}
	for _, id := range m.sent {
		var at []string
		for _, pool := range movingPools {
			found, err := shard.FindJob(context.Background(), rows, pool, id, shard.Requester{Operator: true})
			if err != nil {
				m.t.Fatal(err)
			}
			if found {
				at = append(at, pool)
			}
		}
		switch {
		case len(at) > 1:
			m.t.Fatalf("job %s was accepted in the pools %s\n%s", id, at, m.log.String())
		case m.accepted[id] && len(at) == 0:
			m.t.Fatalf("job %s was accepted and is in no pool\n%s", id, m.log.String())
		case !m.accepted[id] && !m.unsure[id] && len(at) > 0:
			m.t.Fatalf("job %s was refused and is in %s\n%s", id, at, m.log.String())
		case len(at) == 1 && !slices.Contains(pools.Names(), at[0]):
			m.t.Fatalf("job %s is in %s, the queue's pools are %s\n%s", id, at, pools.Names(), m.log.String())
		}
	}
}

// queueMoves runs random scenarios of a queue that moves between pools, while entries know different versions of the
// configuration, answers get lost, the table service fails and owners are replaced.
func queueMoves(inject func(*movingQueue)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newMovingQueue(t)
		if inject != nil {
			inject(m)
		}
		defer m.close()
		for _, pool := range movingPools {
			m.open(pool)
		}
		kinds := []func(*rapid.T){m.drawMove, m.drawMove, m.drawSubmissions, m.drawSubmissions, m.drawSubmissions, m.drawTakeover, m.drawRelease, m.drawReplacement, m.drawOddRow, m.drawRowFault, m.clearFaults, m.drawLostAnswer}
		for range rapid.IntRange(4, 20).Draw(t, "steps") {
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")](t)
			time.Sleep(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
		m.finish(t)
	}
}

// drawMove writes a configuration that sends the queue to a drawn pool.
func (m *movingQueue) drawMove(t *rapid.T) {
	last := m.versions[len(m.versions)-1]
	m.versions = append(m.versions, routing{last.version + int64(rapid.IntRange(1, 3).Draw(t, "version step")), rapid.SampledFrom(movingPools).Draw(t, "pool")})
}

// drawSubmissions submits a new job or an earlier one at several entries at about the same time.
func (m *movingQueue) drawSubmissions(t *rapid.T) {
	var id string
	if len(m.sent) > 0 && rapid.IntRange(0, 2).Draw(t, "again") == 0 {
		id = rapid.SampledFrom(m.sent).Draw(t, "job")
	} else {
		id = jobID(len(m.sent) + 1)
		m.sent = append(m.sent, id)
	}
	var wg sync.WaitGroup
	for n := range rapid.IntRange(1, 5).Draw(t, "entries") {
		known := m.versions[max(0, len(m.versions)-1-rapid.IntRange(0, 2).Draw(t, "versions behind"))]
		delay := time.Duration(rapid.IntRange(0, 30).Draw(t, "delay")) * time.Millisecond
		wg.Go(func() {
			time.Sleep(delay)
			m.submit(n, known, id)
		})
	}
	if rapid.Bool().Draw(t, "awaited") {
		wg.Wait()
	}
}

// drawTakeover ends the owner of a pool and starts the next one.
func (m *movingQueue) drawTakeover(t *rapid.T) {
	pool := rapid.SampledFrom(movingPools).Draw(t, "pool")
	if o := m.owner(pool, 0); o != nil {
		o.Close()
	}
	m.open(pool)
}

// drawRelease replaces the owner of a pool as planned.
func (m *movingQueue) drawRelease(t *rapid.T) {
	pool := rapid.SampledFrom(movingPools).Draw(t, "pool")
	if o := m.owner(pool, 0); o != nil {
		o.Release(context.Background(), "")
	}
	m.open(pool)
}

// drawReplacement starts the next owner of a pool while the present one continues.
func (m *movingQueue) drawReplacement(t *rapid.T) {
	m.open(rapid.SampledFrom(movingPools).Draw(t, "pool"))
}

// drawOddRow makes the row of the queue in a shard unreadable and starts the next owner.
func (m *movingQueue) drawOddRow(t *rapid.T) {
	pool := rapid.SampledFrom(movingPools).Draw(t, "pool")
	m.corruptQueueRow(pool, []byte("\xc1 not ours"))
	m.open(pool)
}

func (m *movingQueue) drawRowFault(t *rapid.T) {
	m.faults.Store(rapid.SampledFrom([]fake.RowOp{fake.RowCommit, fake.RowList}).Draw(t, "call"), rapid.SampledFrom(rowFaults).Draw(t, "fault"))
}

func (m *movingQueue) drawLostAnswer(t *rapid.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseNext = rapid.IntRange(1, 2).Draw(t, "lost")
}

func (m *movingQueue) clearFaults(*rapid.T) {
	m.faults.Clear()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseNext = 0
}

// finish ends all faults, and submits each job once more and a new one at an entry with the newest configuration. The
// new one must be accepted.
func (m *movingQueue) finish(t *rapid.T) {
	m.clearFaults(t)
	time.Sleep(5 * time.Second)
	for _, pool := range movingPools {
		for range 20 {
			if m.open(pool) {
				break
			}
			time.Sleep(time.Second)
		}
	}
	newest := m.versions[len(m.versions)-1]
	m.sent = append(m.sent, jobID(len(m.sent)+1))
	for _, id := range m.sent {
		m.submit(0, newest, id)
		m.submit(0, newest, id)
	}
	if last := m.sent[len(m.sent)-1]; !m.accepted[last] {
		t.Fatalf("job %s was not accepted after all faults\n%s", last, m.log.String())
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
	m.check()
}

// TestQueueMoves guards against a job that is accepted in two pools, or lost to its caller, when a configuration sends
// its queue to another pool.
func TestQueueMoves(t *testing.T) { prop.Check(t, queueMoves(nil)) }

// TestQueueMovesDetectsFaults checks that the scenarios detect a former pool that goes on accepting, jobs that are not
// sought in former pools, and owners that forget which queues have left.
func TestQueueMovesDetectsFaults(t *testing.T) {
	for name, inject := range map[string]func(*movingQueue){
		"former pool accepts":    func(m *movingQueue) { m.skipClose = true },
		"former pools not asked": func(m *movingQueue) { m.skipSearch = true },
		"left queues forgotten": func(m *movingQueue) {
			m.wrapRows = func(r platform.Rows) platform.Rows { return withoutQueues{r} }
		},
	} {
		t.Run(name, func(t *testing.T) { qt.Assert(t, prop.FindsFailure(t, queueMoves(inject)), qt.IsTrue) })
	}
}

// withoutQueues has the rows of a shard say of queues that have left that they are there.
type withoutQueues struct{ platform.Rows }

func (r withoutQueues) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	page, err := r.Rows.ListRows(ctx, table, partition, from)
	page.Rows = slices.Clone(page.Rows)
	for i := range page.Rows {
		if row := &page.Rows[i]; strings.HasPrefix(row.Key, "queue~") {
			row.Value = withoutDestination(row.Value)
		}
	}
	return page, err
}

// withoutDestination returns the row of a queue without the pool that the queue has moved to.
func withoutDestination(raw []byte) []byte {
	var row map[string]any
	if err := msgpack.Unmarshal(raw, &row); err != nil {
		panic(err)
	}
	delete(row, "m")
	raw, err := msgpack.Marshal(row)
	if err != nil {
		panic(err)
	}
	return raw
}
