package once_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/gateway/once"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestOddClaim guards against a claim of another writer that costs requests with other keys, or their claims' removal.
func TestOddClaim(t *testing.T) {
	for name, value := range map[string]string{
		"not JSON":       "\x00",
		"another type":   `[1]`,
		"beyond 64 bits": `{"at_ms":9223372036854775808}`,
		"latest time":    `{"at_ms":9223372036854775807}`,
		"earliest time":  `{"at_ms":-9223372036854775808}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				store := fake.New().View("z")
				odd, sound := once.NewKey("r", "c", "odd"), once.NewKey("r", "c", "sound")
				c.Assert(store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "claim/" + string(odd), Value: []byte(value)}}}), qt.IsNil)
				cs := once.New(store, "entry")
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = cs.Run(ctx)
				}()
				oddDone := make(chan error)
				go func() {
					_, _, err := cs.Claim(ctx, odd, "digest")
					oddDone <- err
				}()
				claim, first, err := cs.Claim(ctx, sound, "digest")
				c.Assert(err, qt.IsNil)
				c.Check(first, qt.IsNil)
				cs.Finish(claim, &once.Response{})
				c.Check(<-oddDone, qt.IsNotNil)
				removed, err := cs.Sweep(ctx, time.Now().Add(once.Lifetime+time.Minute))
				c.Check(err, qt.IsNil)
				c.Check(removed >= 1, qt.IsTrue)
				item, err := store.Get(ctx, "claim/"+string(sound))
				c.Assert(err, qt.IsNil)
				c.Check(item.Version, qt.Equals, int64(0))
				cancel()
				<-done
			})
		})
	}
}
