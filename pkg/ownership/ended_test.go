package ownership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// TestHasEnded checks what counts as proof that an owner's process has ended; a single refused
// connection does not.
func TestHasEnded(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(Member{Name: "me", Start: 7, CPUs: 1}, nil, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(time.Now())), &unstableEntry{})
	other := memberHeard("other", time.Second)
	other.Start = 3
	m.peers["other"] = other
	row := shard.OwnerRow{Entry: "other", Start: 3, Term: 5}
	c.Check(m.HasEnded(row), qt.IsFalse)
	c.Check(m.HasEnded(shard.OwnerRow{Term: 5}), qt.IsTrue, qt.Commentf("released"))
	c.Check(m.HasEnded(shard.OwnerRow{Entry: "me", Start: 6}), qt.IsTrue, qt.Commentf("an earlier process of this entry"))
	c.Check(m.HasEnded(shard.OwnerRow{Entry: "other", Start: 2}), qt.IsTrue, qt.Commentf("restarted"))
	c.Check(m.HasEnded(shard.OwnerRow{Entry: "unknown", Start: 1}), qt.IsFalse)

	other.Zone = "z"
	near := memberHeard("near", time.Second)
	near.Zone = "z"
	m.peers["near"] = near
	refused := peer.ErrNotSent{Refused: true}
	other.recordFailure(refused, time.Hour, time.Hour, false)
	c.Check(m.HasEnded(row), qt.IsFalse, qt.Commentf("refused once"))
	other.recordFailure(refused, time.Hour+1, time.Hour+1, false)
	c.Check(m.HasEnded(row), qt.IsFalse, qt.Commentf("refused twice, and its zone not heard since"))
	near.recordFailure(refused, time.Hour+1, time.Hour+1, false)
	c.Check(m.HasEnded(row), qt.IsFalse, qt.Commentf("its zone refuses"))
	near.recordReply(&schema.CallReply{}, time.Hour+1, time.Hour+1)
	c.Check(m.HasEnded(row), qt.IsTrue, qt.Commentf("refused twice, and another entry of its zone answers"))
	other.recordReply(&schema.CallReply{}, time.Hour+2, time.Hour+2)
	c.Check(m.HasEnded(row), qt.IsFalse, qt.Commentf("heard again"))
	other.recordFailure(refused, time.Hour+3, time.Hour+3, false)
	other.recordFailure(peer.ErrNotSent{}, time.Hour+4, time.Hour+4, true)
	other.recordFailure(refused, time.Hour+5, time.Hour+5, false)
	near.recordReply(&schema.CallReply{}, time.Hour+5, time.Hour+5)
	c.Check(m.HasEnded(row), qt.IsFalse, qt.Commentf("not refused in between"))
	m.self.Zone = "z"
	other.recordFailure(refused, time.Hour+6, time.Hour+6, false)
	near.recordFailure(refused, time.Hour+6, time.Hour+6, false)
	c.Check(m.HasEnded(row), qt.IsTrue, qt.Commentf("in this entry's own zone"))
	other.recordReply(&schema.CallReply{Stopping: true}, time.Hour+7, time.Hour+7)
	c.Check(m.HasEnded(row), qt.IsFalse, qt.Commentf("stopping"))
	other.recordReply(&schema.CallReply{Stopping: true, Released: true}, time.Hour+8, time.Hour+8)
	c.Check(m.HasEnded(row), qt.IsTrue, qt.Commentf("its owners have ended"))
	other.recordReply(&schema.CallReply{Start: 2}, time.Hour+9, time.Hour+9)
	c.Check(m.HasEnded(row), qt.IsTrue, qt.Commentf("another process answers"))
}
