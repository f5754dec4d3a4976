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

// outcome is what the maker of an edit was told.
type outcome string

const (
	accepted  outcome = "accepted"
	notMade   outcome = "not made"
	unsettled outcome = "unsettled"
)

// world is several replicas over one store that fails.
type world struct {
	t        *rapid.T
	store    *fake.Platform
	plant    plant
	replicas []*replica.Replica
	highest  []int
	mu       sync.Mutex
	told     map[string]outcome // by edit
	next     int
}

// plant breaks the store in a way that the replicas cannot see.
type plant func(platform.Table) platform.Table

func sound(t platform.Table) platform.Table { return t }

func newWorld(t *rapid.T, p plant) *world {
	w := &world{t: t, store: fake.New(fake.WithLatency(time.Millisecond)), plant: p, told: map[string]outcome{}}
	for range 3 {
		w.replicas = append(w.replicas, w.newReplica())
		w.highest = append(w.highest, 0)
	}
	return w
}

func (w *world) newReplica() *replica.Replica { return replica.New(w.plant(w.store.View("z"))) }

// forgetful drops the conditions of every transaction.
type forgetful struct{ platform.Table }

func (f forgetful) Commit(ctx context.Context, txn platform.Txn) error {
	txn.Conditions = nil
	return f.Table.Commit(ctx, txn)
}

// overconfident reports a lost answer as a call that did not happen.
type overconfident struct{ platform.Table }

func (o overconfident) Commit(ctx context.Context, txn platform.Txn) error {
	err := o.Table.Commit(ctx, txn)
	if platform.IsUnknown(err) {
		return platform.ErrNotDone{Op: "commit", Cause: err.Error()}
	}
	return err
}

// TestPlanted breaks a promise of the store on purpose: the property must see it.
func TestPlanted(t *testing.T) {
	for name, p := range map[string]plant{
		"no conditions":                 func(t platform.Table) platform.Table { return forgetful{t} },
		"lost answer taken for nothing": func(t platform.Table) platform.Table { return overconfident{t} },
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, prop.FindsFailure(t, func(rt *rapid.T) { machine(rt, p) }), qt.IsTrue)
		})
	}
}

// edit has a replica commit an edit of one of few rows, so that edits meet.
func (w *world) edit(i int, name, note string) {
	w.mu.Lock()
	w.next++
	id := fmt.Sprintf("edit-%d", w.next)
	w.mu.Unlock()
	r := w.replicas[i]
	key := table.Key{Kind: schema.KindZone, Name: name}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := r.Commit(ctx, &table.Edit{
		ID: id, Actor: "test", Reason: note,
		Changes: []table.Change{{Key: key, Seen: r.Snapshot().Version(key), Value: table.MustValue(schema.Zone{Note: note + id})}},
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.told[id] = accepted
	case errors.As(err, new(replica.ErrUnsettled)):
		w.told[id] = unsettled
	default:
		w.told[id] = notMade
	}
}

// log reads the store's log past all faults.
func (w *world) log() (entries []schema.Entry) {
	w.store.SetRules()
	time.Sleep(time.Second) // lets the rate limit recover
	items, err := w.store.View("z").Scan(context.Background(), "log/", "log/\xff", 100_000)
	if err != nil {
		w.t.Fatalf("read log: %v", err)
	}
	for _, it := range items {
		var e schema.Entry
		if err := json.Unmarshal(it.Value, &e); err != nil {
			w.t.Fatalf("decode log: %v", err)
		}
		entries = append(entries, e)
	}
	return entries
}

// check compares everything with the log, which is the simple truth.
func (w *world) check() {
	entries := w.log()
	at := map[int]*table.Snapshot{0: table.Empty()}
	made := map[string]int{}
	snap := table.Empty()
	for i := range entries {
		next, err := snap.Apply(&entries[i])
		if err != nil {
			w.t.Fatalf("the log has a gap: %v", err)
		}
		snap = next
		at[snap.Revision] = snap
		made[entries[i].EditID]++
	}
	for id, told := range w.told {
		switch {
		case made[id] > 1:
			w.t.Fatalf("%s was made %d times", id, made[id])
		case told == accepted && made[id] != 1:
			w.t.Fatalf("%s was accepted but is not in the log", id)
		case told == notMade && made[id] != 0:
			w.t.Fatalf("%s was reported as not made but is in the log", id)
		}
	}
	for i, r := range w.replicas {
		got := r.Snapshot()
		if got.Revision < w.highest[i] {
			w.t.Fatalf("replica %d went back from %d to %d", i, w.highest[i], got.Revision)
		}
		w.highest[i] = got.Revision
		want, ok := at[got.Revision]
		if !ok || fmt.Sprint(got.Stored()) != fmt.Sprint(want.Stored()) {
			w.t.Fatalf("replica %d holds other rows at revision %d than the log gives", i, got.Revision)
		}
	}
}

// TestMachine drives replicas through edits that race, faults of the store,
// entries handed on late, twice and with gaps, and restarts.
func TestMachine(t *testing.T) {
	prop.Check(t, func(rt *rapid.T) { machine(rt, sound) })
}

// machine is the property.
func machine(t *rapid.T, p plant) {
	w := newWorld(t, p)
	index := rapid.IntRange(0, len(w.replicas)-1)
	names := rapid.SampledFrom([]string{"a", "b", "c"})
	t.Repeat(map[string]func(*rapid.T){
		"": func(*rapid.T) {},
		"two edits": func(t *rapid.T) {
			i, j := index.Draw(t, "i"), index.Draw(t, "j")
			a, b := names.Draw(t, "a"), names.Draw(t, "b")
			var wg sync.WaitGroup
			wg.Go(func() { w.edit(i, a, "first") })
			wg.Go(func() { w.edit(j, b, "second") })
			wg.Wait()
		},
		"fault": func(t *rapid.T) {
			w.store.SetRules(fake.Rule{
				Op:    rapid.SampledFrom([]rest.Operation{"", rest.OpCommit, rest.OpGet, rest.OpScan}).Draw(t, "op"),
				Fault: rapid.SampledFrom(fake.Faults()).Draw(t, "fault"), DelayMs: 100,
				Chance: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "chance"),
				Skip:   rapid.IntRange(0, 3).Draw(t, "skip"), Count: rapid.IntRange(0, 4).Draw(t, "count"),
			})
		},
		"catch up": func(t *rapid.T) { _, _ = w.replicas[index.Draw(t, "i")].CatchUp(context.Background()) },
		"hand on": func(t *rapid.T) {
			from, to := w.replicas[index.Draw(t, "from")], w.replicas[index.Draw(t, "to")]
			entries, _ := from.Since(rapid.IntRange(0, 5).Draw(t, "since"), rapid.IntRange(1, 5).Draw(t, "limit"))
			_ = to.Offer(entries) // a gap is refused, which the check sees as no change
		},
		"adopt": func(t *rapid.T) {
			w.replicas[index.Draw(t, "to")].Adopt(w.replicas[index.Draw(t, "from")].Snapshot())
		},
		"restart": func(t *rapid.T) {
			i := index.Draw(t, "i")
			w.replicas[i], w.highest[i] = w.newReplica(), 0
		},
		"check": func(*rapid.T) { w.check() },
	})
	w.check()
}

// TestEveryFaultAtEveryStep makes one edit with each fault at each call of the
// store that it makes, alone and twice.
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
						c.Assert(err, qt.IsNil, qt.Commentf("the same edit again is settled, not made again"))
						c.Check(again.Revision, qt.Equals, 1)
						c.Check(r.Revision(), qt.Equals, 1)
					})
				})
			}
		}
	}
	t.Logf("%d combinations", count)
}

// TestConflict shows both values to the second of two editors.
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
