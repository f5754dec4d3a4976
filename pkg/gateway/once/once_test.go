package once_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/gateway/once"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
)

// world is several entries' books over one store, and a count of what ran.
type world struct {
	store  *fake.Platform
	wrap   func(platform.Table) platform.Table
	books  []*once.Book
	cancel []context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	ran    map[string]int // by key
	bodies map[string]string
	wrong  []string
}

const entries = 3

func newWorld(wrap func(platform.Table) platform.Table) *world {
	w := &world{store: fake.New(fake.WithLatency(2 * time.Millisecond)), wrap: wrap, ran: map[string]int{}, bodies: map[string]string{}}
	for range entries {
		w.books = append(w.books, nil)
		w.cancel = append(w.cancel, func() {})
	}
	for i := range entries {
		w.start(i)
	}
	return w
}

// start begins an entry anew; what it held is lost.
func (w *world) start(i int) {
	w.cancel[i]()
	ctx, cancel := context.WithCancel(context.Background())
	b := once.New(w.wrap(w.store.View("z")), fmt.Sprintf("entry-%d", i))
	w.books[i], w.cancel[i] = b, cancel
	w.wg.Go(func() { _ = b.Run(ctx) })
}

// fate is what becomes of a request that may run.
type fate string

const (
	answered fate = "answered"
	unknown  fate = "unknown" // it runs and no answer comes
	never    fate = "never"   // it certainly does not run
)

// request sends a request with a key to an entry, as the request path does.
func (w *world) request(b *once.Book, key, body string, f fate, took time.Duration) {
	t, first, err := b.Claim(context.Background(), once.NewKey("r", "c", key), once.Digest([]byte(body)))
	switch {
	case err != nil:
		return
	case first != nil:
		w.judge(key, body, string(first.Body) == key+body)
		return
	case f == never:
		b.GiveBack(t)
		return
	}
	w.mu.Lock()
	w.ran[key]++
	if other, ok := w.bodies[key]; ok && other != body {
		w.wrong = append(w.wrong, "two bodies ran under "+key)
	}
	w.bodies[key] = body
	w.mu.Unlock()
	time.Sleep(took)
	var answer *once.Answer
	if f == answered {
		answer = &once.Answer{Status: 200, Body: []byte(key + body)}
	}
	b.Finish(t, answer)
}

func (w *world) judge(key, body string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ok {
		w.wrong = append(w.wrong, "another answer for "+key+body)
	}
}

func (w *world) check(t *rapid.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, n := range w.ran {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	if len(w.wrong) > 0 {
		t.Fatalf("%s", w.wrong[0])
	}
}

// machine is the property: repetitions at any entries, lost answers, outages,
// crashes; nothing runs twice and no answer is another's.
func machine(t *rapid.T, wrap func(platform.Table) platform.Table) {
	w := newWorld(wrap)
	defer func() {
		w.store.SetRules()
		for _, cancel := range w.cancel {
			cancel()
		}
		w.wg.Wait()
	}()
	index := rapid.IntRange(0, entries-1)
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) { w.check(t) },
		"requests": func(t *rapid.T) {
			for range rapid.IntRange(1, 4).Draw(t, "n") {
				i, key := index.Draw(t, "entry"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				body := rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "body")
				f := rapid.SampledFrom([]fate{answered, unknown, never}).Draw(t, "fate")
				took := time.Duration(rapid.IntRange(0, 300).Draw(t, "took")) * time.Millisecond
				b := w.books[i]
				w.wg.Go(func() { w.request(b, key, body, f, took) })
			}
		},
		"time": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
		},
		"crash": func(t *rapid.T) { w.start(index.Draw(t, "entry")) },
		"fault": func(t *rapid.T) {
			w.store.SetRules(fake.Rule{
				Op:    rapid.SampledFrom([]rest.Operation{"", rest.OpCommit, rest.OpGet}).Draw(t, "op"),
				Fault: rapid.SampledFrom(fake.Faults()).Draw(t, "fault"), DelayMs: 200,
				Chance: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "chance"), Count: rapid.IntRange(0, 5).Draw(t, "count"),
			})
		},
		"well": func(*rapid.T) { w.store.SetRules() },
	})
	time.Sleep(5 * time.Second)
	w.check(t)
}

func sound(t platform.Table) platform.Table { return t }

// forgetful drops the conditions of every transaction.
type forgetful struct{ platform.Table }

func (f forgetful) Commit(ctx context.Context, txn platform.Txn) error {
	txn.Conditions = nil
	return f.Table.Commit(ctx, txn)
}

// TestMachine proves at most once under races, faults and crashes.
func TestMachine(t *testing.T) {
	prop.Check(t, func(rt *rapid.T) { machine(rt, sound) })
}

// TestPlanted drops the condition that a key is new: the property must see it.
func TestPlanted(t *testing.T) {
	qt.Assert(t, prop.FindsFailure(t, func(rt *rapid.T) {
		machine(rt, func(t platform.Table) platform.Table { return forgetful{t} })
	}), qt.IsTrue)
}

// TestGrouping claims 1,000 keys at once: they take few transactions.
func TestGrouping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fake.New(fake.WithLatency(5 * time.Millisecond))
		b := once.New(store.View("z"), "e")
		ctx, cancel := context.WithCancel(context.Background())
		var run, claims sync.WaitGroup
		run.Go(func() { _ = b.Run(ctx) })
		began := time.Now()
		for i := range 1000 {
			claims.Go(func() {
				t, _, err := b.Claim(ctx, once.NewKey("r", "c", fmt.Sprint(i)), "d")
				c.Check(err, qt.IsNil)
				b.Finish(t, nil)
			})
		}
		claims.Wait()
		c.Check(store.Calls(rest.OpCommit) <= 6, qt.IsTrue, qt.Commentf("%d transactions", store.Calls(rest.OpCommit)))
		c.Check(time.Since(began) <= 700*time.Millisecond, qt.IsTrue, qt.Commentf("virtual time %s", time.Since(began)))
		cancel()
		run.Wait()
	})
}

// TestErrors tells apart what a repetition meets, and sweeps old claims.
func TestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fake.New()
		ctx, cancel := context.WithCancel(context.Background())
		a, b := once.New(store.View("z"), "entry-a"), once.New(store.View("z"), "entry-b")
		var wg sync.WaitGroup
		wg.Go(func() { _ = a.Run(ctx) })
		wg.Go(func() { _ = b.Run(ctx) })
		key := once.NewKey("r", "c", "k")
		ticket, _, err := a.Claim(ctx, key, "d")
		c.Assert(err, qt.IsNil)
		a.Finish(ticket, &once.Answer{Status: 201})
		_, first, err := a.Claim(ctx, key, "d")
		c.Assert(err, qt.IsNil)
		c.Check(first.Status, qt.Equals, 201)
		_, _, err = a.Claim(ctx, key, "other")
		c.Check(errors.As(err, new(once.ErrOtherBody)), qt.IsTrue)
		_, _, err = b.Claim(ctx, key, "other")
		c.Check(errors.As(err, new(once.ErrOtherBody)), qt.IsTrue)
		_, _, err = b.Claim(ctx, key, "d")
		c.Check(err, qt.ErrorMatches, ".*entry-a")
		store.SetRules(fake.Rule{Op: rest.OpCommit, Fault: fake.FaultDown})
		_, _, err = b.Claim(ctx, once.NewKey("r", "c", "k2"), "d")
		c.Check(errors.As(err, new(once.ErrUnavailable)), qt.IsTrue)
		store.SetRules()
		n, err := b.Sweep(ctx, time.Now().Add(once.Lifetime+time.Minute))
		c.Assert(err, qt.IsNil)
		c.Check(n, qt.Equals, 1)
		cancel()
		wg.Wait()
	})
}
