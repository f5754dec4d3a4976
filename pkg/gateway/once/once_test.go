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

// harness runs several entries over one store and counts the requests that ran.
type harness struct {
	store  *fake.Platform
	wrap   func(platform.Table) platform.Table
	claims []*once.Claims
	cancel []context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	runs     map[string]int // runs by key
	bodies   map[string]string
	problems []string
}

const entries = 3

func newHarness(wrap func(platform.Table) platform.Table) *harness {
	h := &harness{store: fake.New(fake.WithLatency(2 * time.Millisecond)), wrap: wrap, runs: map[string]int{}, bodies: map[string]string{}}
	for range entries {
		h.claims = append(h.claims, nil)
		h.cancel = append(h.cancel, func() {})
	}
	for i := range entries {
		h.start(i)
	}
	return h
}

// start restarts an entry, which loses its state.
func (h *harness) start(i int) {
	h.cancel[i]()
	ctx, cancel := context.WithCancel(context.Background())
	b := once.New(h.wrap(h.store.View("z")), fmt.Sprintf("entry-%d", i))
	h.claims[i], h.cancel[i] = b, cancel
	h.wg.Go(func() { _ = b.Run(ctx) })
}

// result is what becomes of a request that may run.
type result string

const (
	answered result = "answered"
	unknown  result = "unknown" // runs without a response
	never    result = "never"   // certainly does not run
)

// request sends a request with a key to an entry, as package gateway does.
func (h *harness) request(b *once.Claims, key, body string, f result, took time.Duration) {
	t, first, err := b.Claim(context.Background(), once.NewKey("r", "c", key), once.Digest([]byte(body)))
	switch {
	case err != nil:
		return
	case first != nil:
		h.checkResponse(key, body, string(first.Body) == key+body)
		return
	case f == never:
		b.Release(t)
		return
	}
	h.mu.Lock()
	h.runs[key]++
	if other, ok := h.bodies[key]; ok && other != body {
		h.problems = append(h.problems, "two bodies ran for key "+key)
	}
	h.bodies[key] = body
	h.mu.Unlock()
	time.Sleep(took)
	var resp *once.Response
	if f == answered {
		resp = &once.Response{Status: 200, Body: []byte(key + body)}
	}
	b.Finish(t, resp)
}

func (h *harness) checkResponse(key, body string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ok {
		h.problems = append(h.problems, "wrong response for "+key+body)
	}
}

func (h *harness) check(t *rapid.T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, n := range h.runs {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	if len(h.problems) > 0 {
		t.Fatalf("%s", h.problems[0])
	}
}

// machine checks that under repetitions, lost responses, outages and crashes no request runs
// twice and no response belongs to another request.
func machine(t *rapid.T, wrap func(platform.Table) platform.Table) {
	h := newHarness(wrap)
	defer func() {
		h.store.SetRules()
		for _, cancel := range h.cancel {
			cancel()
		}
		h.wg.Wait()
	}()
	index := rapid.IntRange(0, entries-1)
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) { h.check(t) },
		"requests": func(t *rapid.T) {
			for range rapid.IntRange(1, 4).Draw(t, "n") {
				i, key := index.Draw(t, "entry"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				body := rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "body")
				f := rapid.SampledFrom([]result{answered, unknown, never}).Draw(t, "fate")
				took := time.Duration(rapid.IntRange(0, 300).Draw(t, "took")) * time.Millisecond
				b := h.claims[i]
				h.wg.Go(func() { h.request(b, key, body, f, took) })
			}
		},
		"time": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
		},
		"crash": func(t *rapid.T) { h.start(index.Draw(t, "entry")) },
		"fault": func(t *rapid.T) {
			h.store.SetRules(fake.Rule{
				Op:    rapid.SampledFrom([]rest.Operation{"", rest.OpCommit, rest.OpGet}).Draw(t, "op"),
				Fault: rapid.SampledFrom(fake.Faults()).Draw(t, "fault"), DelayMs: 200,
				Chance: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "chance"), Count: rapid.IntRange(0, 5).Draw(t, "count"),
			})
		},
		"well": func(*rapid.T) { h.store.SetRules() },
	})
	time.Sleep(5 * time.Second)
	h.check(t)
}

func unmodified(t platform.Table) platform.Table { return t }

// unconditional removes the conditions of every transaction.
type unconditional struct{ platform.Table }

func (f unconditional) Commit(ctx context.Context, txn platform.Txn) error {
	txn.Conditions = nil
	return f.Table.Commit(ctx, txn)
}

// TestMachine checks at-most-once execution under races, faults and crashes.
func TestMachine(t *testing.T) {
	prop.Check(t, func(rt *rapid.T) { machine(rt, unmodified) })
}

// TestMutations removes the condition that a key is new and expects the property to fail.
func TestMutations(t *testing.T) {
	qt.Assert(t, prop.FindsFailure(t, func(rt *rapid.T) {
		machine(rt, func(t platform.Table) platform.Table { return unconditional{t} })
	}), qt.IsTrue)
}

// TestGrouping checks that 1,000 concurrent claims take few transactions.
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

// TestErrors checks the errors of repeated requests and the removal of expired claims.
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
		claim, _, err := a.Claim(ctx, key, "d")
		c.Assert(err, qt.IsNil)
		a.Finish(claim, &once.Response{Status: 201})
		_, first, err := a.Claim(ctx, key, "d")
		c.Assert(err, qt.IsNil)
		c.Check(first.Status, qt.Equals, 201)
		_, _, err = a.Claim(ctx, key, "other")
		c.Check(errors.As(err, new(once.ErrBodyMismatch)), qt.IsTrue)
		_, _, err = b.Claim(ctx, key, "other")
		c.Check(errors.As(err, new(once.ErrBodyMismatch)), qt.IsTrue)
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
