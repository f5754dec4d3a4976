package control

import (
	"context"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestOddLease guards against a stored lease by which no entry ever makes decisions again, and against two holders.
func TestOddLease(t *testing.T) {
	const duration = 5 * time.Second
	start := time.UnixMilli(1_000_000_000)
	until := func(ms int64) string { return `{"holder":"other","until_ms":` + strconv.FormatInt(ms, 10) + `}` }
	for name, value := range map[string]string{
		"not JSON":       "\x00",
		"another type":   "[1]",
		"beyond 64 bits": `{"holder":"other","until_ms":9223372036854775808}`,
		"nested":         strings.Repeat("[", 30_000),
		"without end":    until(math.MaxInt64),
		"for a year":     until(start.Add(365 * 24 * time.Hour).UnixMilli()),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, store := context.Background(), fake.New().View("z")
			put := func(value string) {
				item, err := store.Get(ctx, leaseKey)
				c.Assert(err, qt.IsNil)
				c.Assert(store.Commit(ctx, platform.Txn{
					Conditions: []platform.Condition{{Key: leaseKey, Version: item.Version}}, Writes: []platform.Write{{Key: leaseKey, Value: []byte(value)}},
				}), qt.IsNil)
			}
			a, b := &lease{store: store, holder: "a", duration: duration}, &lease{store: store, holder: "b", duration: duration}
			held, err := a.acquire(ctx, start)
			c.Assert(err, qt.IsNil)
			c.Assert(held, qt.IsTrue)
			put(value)
			// The holder may rely on its lease until that ends.
			held, _ = b.acquire(ctx, start.Add(time.Millisecond))
			c.Check(held, qt.IsFalse)
			held, _ = b.acquire(ctx, start.Add(duration))
			c.Check(held, qt.IsFalse)
			// Each new value is awaited anew.
			put(value)
			held, _ = b.acquire(ctx, start.Add(duration+2*time.Millisecond))
			c.Check(held, qt.IsFalse)
			held, _ = b.acquire(ctx, start.Add(2*duration))
			c.Check(held, qt.IsFalse)
			held, err = b.acquire(ctx, start.Add(2*duration+3*time.Millisecond))
			c.Check(err, qt.IsNil)
			c.Check(held, qt.IsTrue)
			held, err = a.acquire(ctx, start.Add(2*duration+4*time.Millisecond))
			c.Check(err, qt.IsNil)
			c.Check(held, qt.IsFalse)
		})
	}
	t.Run("clock behind", func(t *testing.T) {
		c := qt.New(t)
		store := fake.New().View("z")
		ahead, behind := &lease{store: store, holder: "a", duration: duration}, &lease{store: store, holder: "b", duration: duration}
		held, err := ahead.acquire(context.Background(), start.Add(duration))
		c.Assert(err, qt.IsNil)
		c.Assert(held, qt.IsTrue)
		for now := start; now.Before(start.Add(duration)); now = now.Add(100 * time.Millisecond) {
			held, err = behind.acquire(context.Background(), now)
			c.Assert(err, qt.IsNil)
			c.Assert(held, qt.IsFalse)
		}
	})
}
