package ownership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// TestNewOwnerIsPinged has an entry among many, which is pinged rarely, become an
// owner: it is asked at once, before its last answer is too old for an owner's.
func TestNewOwnerIsPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMembers(Member{Name: "me"}, nil, zerolog.Nop(), elapsed.New(), here{reaches: true})
		for i := range 42 {
			name := fmt.Sprintf("e%d", i)
			m.peers[name] = &known{Member: Member{Name: name}, wake: make(chan struct{}, 1)}
		}
		k := m.peers["e7"]
		c.Assert(m.interval(k) > silence, qt.IsTrue)
		asked := make(chan time.Time, 1)
		go func() {
			m.pause(context.Background(), k)
			asked <- time.Now()
		}()
		time.Sleep(time.Millisecond)
		became := time.Now()
		m.SetOwners(map[string]bool{"e7": true})
		c.Check(<-asked, qt.Equals, became)
	})
}

// TestQuietOwnerIsChecked has an owner among many leave a ping unanswered: some
// others are asked at once, so that it is known whether they answer.
func TestQuietOwnerIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMembers(Member{Name: "me"}, nil, zerolog.Nop(), elapsed.New(), here{reaches: true})
		for i := range 96 {
			name := fmt.Sprintf("e%d", i)
			m.peers[name] = &known{Member: Member{Name: name}, wake: make(chan struct{}, 1)}
		}
		m.peers["e7"].owns = true
		m.checkSome(m.peers["e7"])
		asked := 0
		for _, k := range m.peers {
			asked += len(k.wake)
		}
		qt.Check(t, asked, qt.Equals, checkedPeers)
	})
}

// TestConfirmationAmongMany has the table service away among 97 entries: an entry
// that owns a shard hears from all others that no later owner is known to them,
// often enough to go on giving leases. Before, it asked each of them every 5.8 s.
func TestConfirmationAmongMany(t *testing.T) {
	m := NewMembers(Member{Name: "me"}, nil, zerolog.Nop(), elapsed.New(), here{})
	for i := range 96 {
		name := fmt.Sprintf("e%d", i)
		m.peers[name] = &known{Member: Member{Name: name}, wake: make(chan struct{}, 1)}
	}
	m.SetOwners(map[string]bool{"me": true})
	for _, k := range m.peers {
		qt.Check(t, m.interval(k)+pingTimeout < shard.ConfirmationTTL, qt.IsTrue)
	}
}
