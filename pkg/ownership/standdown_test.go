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

// slowOwner is an owner of term 1 that takes a while to close.
type slowOwner struct {
	LocalOwner
	ended atomic.Bool
}

func (o *slowOwner) Term() int64 { return 1 }

func (o *slowOwner) Close() {
	time.Sleep(50 * time.Millisecond)
	o.ended.Store(true)
}

// TestStandDown checks that an entry confirms standing down only once its local owner is closed, and
// refuses for an owner row older than its own or while it claims the shard.
func TestStandDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := elapsed.New(elapsed.WithOrigin(time.Now()))
		m := NewMembers(Member{Name: "me", Start: 1, CPUs: 1}, nil, zerolog.Nop(), clock, &unstableEntry{})
		mgr := NewManager(shard.Identity{Entry: "me", Start: 1}, m, nil, zerolog.Nop(), clock)
		rowOf := func(entry string, term, version int64) platform.Row {
			raw, err := shard.EncodeOwner(shard.OwnerRow{Entry: entry, Start: 1, Term: term})
			c.Assert(err, qt.IsNil)
			return platform.Row{Value: raw, Version: version}
		}
		mgr.ApplyOwner("p", rowOf("me", 1, 10))
		w := &slowOwner{}
		mgr.shards["p"].owner = w
		c.Check(mgr.StandDown(context.Background(), "p", rowOf("before", 0, 9)), qt.IsFalse, qt.Commentf("an older row"))
		c.Check(w.ended.Load(), qt.IsFalse)

		short, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		c.Check(mgr.StandDown(short, "p", rowOf("next", 2, 11)), qt.IsFalse, qt.Commentf("its work has not ended"))
		c.Check(mgr.StandDown(context.Background(), "p", rowOf("next", 2, 11)), qt.IsTrue)
		c.Check(w.ended.Load(), qt.IsTrue)

		mgr.shards["p"].claiming = true
		c.Check(mgr.StandDown(context.Background(), "p", rowOf("next", 3, 12)), qt.IsFalse, qt.Commentf("it claims the shard"))
	})
}
