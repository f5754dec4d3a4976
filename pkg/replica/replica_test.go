package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// outcome is the result of a commit as reported to its caller.
type outcome string

const (
	accepted       outcome = "accepted"
	notMade        outcome = "not made"
	outcomeUnknown outcome = "unsettled"
)

// harness runs several replicas over one store with injected faults.
type harness struct {
	t        *rapid.T
	store    *fake.Platform
	mutation mutation
	replicas []*replica.Replica
	highest  []int
	mu       sync.Mutex
	reported map[string]outcome // by edit ID
	nextID   int
}

// mutation breaks a guarantee of the store, to check that the property detects it.
type mutation func(platform.Table) platform.Table

func unmodified(t platform.Table) platform.Table { return t }

func newHarness(t *rapid.T, m mutation) *harness {
	h := &harness{t: t, store: fake.New(fake.WithLatency(time.Millisecond)), mutation: m, reported: map[string]outcome{}}
	for range 3 {
		h.replicas = append(h.replicas, h.newReplica())
		h.highest = append(h.highest, 0)
	}
	return h
}

func (h *harness) newReplica() *replica.Replica { return replica.New(h.mutation(h.store.View("z"))) }

// unconditional removes the conditions of every transaction.
type unconditional struct{ platform.Table }

func (f unconditional) Commit(ctx context.Context, txn platform.Txn) error {
	txn.Conditions = nil
	return f.Table.Commit(ctx, txn)
}

// misreporting reports an unknown outcome as not done.
type misreporting struct{ platform.Table }

func (o misreporting) Commit(ctx context.Context, txn platform.Txn) error {
	err := o.Table.Commit(ctx, txn)
	if platform.IsUnknown(err) {
		return platform.ErrNotDone{Op: "commit", Cause: err.Error()}
	}
	return err
}

// TestMutations breaks one guarantee of the store at a time and expects the property to fail.
func TestMutations(t *testing.T) {
	for name, m := range map[string]mutation{
		"no conditions":                        func(t platform.Table) platform.Table { return unconditional{t} },
		"unknown outcome reported as not done": func(t platform.Table) platform.Table { return misreporting{t} },
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, prop.FindsFailure(t, func(rt *rapid.T) { machine(rt, m) }), qt.IsTrue)
		})
	}
}

// edit commits an edit of one of a few rows through a replica.
func (h *harness) edit(i int, name, note string) {
	h.mu.Lock()
	h.nextID++
	id := fmt.Sprintf("edit-%d", h.nextID)
	h.mu.Unlock()
	r := h.replicas[i]
	key := table.Key{Kind: schema.KindZone, Name: name}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := r.Commit(ctx, &table.Edit{
		ID: id, Actor: "test", Reason: note,
		Changes: []table.Change{{Key: key, Seen: r.Snapshot().Version(key), Value: table.MustValue(schema.Zone{Note: note + id})}},
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.reported[id] = accepted
	case errors.As(err, new(replica.ErrOutcomeUnknown)):
		h.reported[id] = outcomeUnknown
	default:
		h.reported[id] = notMade
	}
}

// log reads the log from the store without faults.
func (h *harness) log() (entries []schema.Entry) {
	h.store.SetRules()
	time.Sleep(time.Second) // lets the rate limit recover
	items, err := h.store.View("z").Scan(context.Background(), "log/", "log/\xff", 100_000)
	if err != nil {
		h.t.Fatalf("read log: %v", err)
	}
	for _, it := range items {
		var e schema.Entry
		if err := json.Unmarshal(it.Value, &e); err != nil {
			h.t.Fatalf("decode log: %v", err)
		}
		entries = append(entries, e)
	}
	return entries
}

// check compares the reported outcomes and all replicas with the log.
func (h *harness) check() {
	entries := h.log()
	at := map[int]*table.Snapshot{0: table.Empty()}
	made := map[string]int{}
	snap := table.Empty()
	for i := range entries {
		next, err := snap.Apply(&entries[i])
		if err != nil {
			h.t.Fatalf("the log has a gap: %v", err)
		}
		snap = next
		at[snap.Revision] = snap
		made[entries[i].EditID]++
	}
	for id, outcome := range h.reported {
		switch {
		case made[id] > 1:
			h.t.Fatalf("%s was made %d times", id, made[id])
		case outcome == accepted && made[id] != 1:
			h.t.Fatalf("%s was accepted but is not in the log", id)
		case outcome == notMade && made[id] != 0:
			h.t.Fatalf("%s was reported as not made but is in the log", id)
		}
	}
	for i, r := range h.replicas {
		got := r.Snapshot()
		if got.Revision < h.highest[i] {
			h.t.Fatalf("replica %d went back from %d to %d", i, h.highest[i], got.Revision)
		}
		h.highest[i] = got.Revision
		want, ok := at[got.Revision]
		if !ok || fmt.Sprint(got.Stored()) != fmt.Sprint(want.Stored()) {
			h.t.Fatalf("replica %d holds other rows at revision %d than the log gives", i, got.Revision)
		}
	}
}

// TestMachine checks the replicas under concurrent edits, store faults, restarts, and log
// entries that arrive late, repeatedly or with gaps.
func TestMachine(t *testing.T) {
	prop.Check(t, func(rt *rapid.T) { machine(rt, unmodified) })
}

// machine is the property that TestMachine checks.
func machine(t *rapid.T, m mutation) {
	h := newHarness(t, m)
	index := rapid.IntRange(0, len(h.replicas)-1)
	names := rapid.SampledFrom([]string{"a", "b", "c"})
	t.Repeat(map[string]func(*rapid.T){
		"": func(*rapid.T) {},
		"two edits": func(t *rapid.T) {
			i, j := index.Draw(t, "i"), index.Draw(t, "j")
			a, b := names.Draw(t, "a"), names.Draw(t, "b")
			var wg sync.WaitGroup
			wg.Go(func() { h.edit(i, a, "first") })
			wg.Go(func() { h.edit(j, b, "second") })
			wg.Wait()
		},
		"fault": func(t *rapid.T) {
			h.store.SetRules(fake.Rule{
				Op:    rapid.SampledFrom([]rest.Operation{"", rest.OpCommit, rest.OpGet, rest.OpScan}).Draw(t, "op"),
				Fault: rapid.SampledFrom(fake.Faults()).Draw(t, "fault"), DelayMs: 100,
				Chance: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "chance"),
				Skip:   rapid.IntRange(0, 3).Draw(t, "skip"), Count: rapid.IntRange(0, 4).Draw(t, "count"),
			})
		},
		"catch up": func(t *rapid.T) { _, _ = h.replicas[index.Draw(t, "i")].CatchUp(context.Background()) },
		"hand on": func(t *rapid.T) {
			from, to := h.replicas[index.Draw(t, "from")], h.replicas[index.Draw(t, "to")]
			entries, _ := from.Since(rapid.IntRange(0, 5).Draw(t, "since"), rapid.IntRange(1, 5).Draw(t, "limit"))
			_ = to.ApplyEntries(entries) // a gap is rejected and leaves the replica unchanged
		},
		"adopt": func(t *rapid.T) {
			h.replicas[index.Draw(t, "to")].InstallSnapshot(h.replicas[index.Draw(t, "from")].Snapshot())
		},
		"restart": func(t *rapid.T) {
			i := index.Draw(t, "i")
			h.replicas[i], h.highest[i] = h.newReplica(), 0
		},
		"check": func(*rapid.T) { h.check() },
	})
	h.check()
}

// TestEveryFaultAtEveryStep injects each fault once and twice at each store call of a commit,
// which must succeed exactly once.
func TestEveryFaultAtEveryStep(t *testing.T) {
	count := 0
	for _, fault := range fake.Faults() {
		for step := range 6 {
			for times := 1; times <= 2; times++ {
				count++
				t.Run(fmt.Sprintf("%s at call %d, %d times", fault, step, times), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := qt.New(t)
						store := fake.New(fake.WithLatency(time.Millisecond))
						store.SetRules(fake.Rule{Fault: fault, DelayMs: 500, Skip: step, Count: times})
						r := replica.New(store.View("z"))
						edit := &table.Edit{ID: "e", Actor: "a", Changes: []table.Change{{
							Key: table.Key{Kind: schema.KindZone, Name: "z"}, Value: table.MustValue(schema.Zone{}),
						}}}
						ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
						defer cancel()
						entry, err := r.Commit(ctx, edit)
						c.Assert(err, qt.IsNil)
						c.Check(entry.Revision, qt.Equals, 1)
						again, err := r.Commit(ctx, edit)
						c.Assert(err, qt.IsNil, qt.Commentf("a repeated edit is not committed again"))
						c.Check(again.Revision, qt.Equals, 1)
						c.Check(r.Revision(), qt.Equals, 1)
					})
				})
			}
		}
	}
	t.Logf("%d combinations", count)
}

// TestConflict checks that a conflicting edit is told both values.
func TestConflict(t *testing.T) {
	c := qt.New(t)
	store := fake.New()
	key := table.Key{Kind: schema.KindZone, Name: "z"}
	edit := func(id, note string) error {
		_, err := replica.New(store.View("z")).Commit(context.Background(), &table.Edit{
			ID: id, Actor: "a", Changes: []table.Change{{Key: key, Value: table.MustValue(schema.Zone{Note: note})}},
		})
		return err
	}
	c.Assert(edit("e1", "first"), qt.IsNil)
	var conflict table.ErrConflict
	c.Assert(errors.As(edit("e2", "second"), &conflict), qt.IsTrue)
	c.Check(string(conflict.Conflicts[0].Theirs), qt.Contains, "first")
	c.Check(string(conflict.Conflicts[0].Yours), qt.Contains, "second")
}

var _ platform.Table = fake.New().View("z")
