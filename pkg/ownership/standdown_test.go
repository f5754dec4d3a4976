package ownership

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// slowWork is the work of term 1 for a shard, which takes a while to end.
type slowWork struct {
	Work
	ended atomic.Bool
}

func (w *slowWork) Term() int64 { return 1 }

func (w *slowWork) Close() {
	time.Sleep(50 * time.Millisecond)
	w.ended.Store(true)
}

// TestStandDown has an entry told that it was replaced: it says that it stands down once its work
// has ended, and not before, nor for a row that is older than its own, nor while it claims the shard.
func TestStandDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := elapsed.New(elapsed.WithOrigin(time.Now()))
		m := NewMembers(Member{Name: "me", Start: 1, Share: 1}, nil, zerolog.Nop(), clock, &there{})
		k := NewKeeper(shard.Identity{Entry: "me", Start: 1}, m, nil, zerolog.Nop(), clock)
		rowOf := func(entry string, term, version int64) platform.Row {
			raw, err := shard.EncodeOwner(shard.OwnerRow{Entry: entry, Start: 1, Term: term})
			c.Assert(err, qt.IsNil)
			return platform.Row{Value: raw, Version: version}
		}
		k.ApplyOwner("p", rowOf("me", 1, 10))
		w := &slowWork{}
		k.shards["p"].owner = w
		c.Check(k.StandDown(context.Background(), "p", rowOf("before", 0, 9)), qt.IsFalse, qt.Commentf("an older row"))
		c.Check(w.ended.Load(), qt.IsFalse)

		short, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		c.Check(k.StandDown(short, "p", rowOf("next", 2, 11)), qt.IsFalse, qt.Commentf("its work has not ended"))
		c.Check(k.StandDown(context.Background(), "p", rowOf("next", 2, 11)), qt.IsTrue)
		c.Check(w.ended.Load(), qt.IsTrue)

		k.shards["p"].claiming = true
		c.Check(k.StandDown(context.Background(), "p", rowOf("next", 3, 12)), qt.IsFalse, qt.Commentf("it claims the shard"))
	})
}
