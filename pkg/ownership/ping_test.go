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

// TestNewOwnerIsPinged checks that an idle entry that becomes an owner is pinged at once: its last
// answer may be older than ownerTimeout.
func TestNewOwnerIsPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMembers(Member{Name: "me"}, nil, zerolog.Nop(), elapsed.New(), fixedEntry{reachesStore: true})
		for i := range 42 {
			name := fmt.Sprintf("e%d", i)
			m.peers[name] = &memberState{Member: Member{Name: name}, wake: make(chan struct{}, 1)}
		}
		p := m.peers["e7"]
		c.Assert(m.nextPingDelay(p) > ownerTimeout, qt.IsTrue)
		pinged := make(chan time.Time, 1)
		go func() {
			m.awaitNextPing(context.Background(), p)
			pinged <- time.Now()
		}()
		time.Sleep(time.Millisecond)
		became := time.Now()
		m.SetOwners(map[string]bool{"e7": true})
		c.Check(<-pinged, qt.Equals, became)
	})
}

// TestLateOwnerTriggersSample checks that other entries are pinged when an owner is late, to tell a
// failed owner from a failed connection of this entry.
func TestLateOwnerTriggersSample(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMembers(Member{Name: "me"}, nil, zerolog.Nop(), elapsed.New(), fixedEntry{reachesStore: true})
		for i := range 96 {
			name := fmt.Sprintf("e%d", i)
			m.peers[name] = &memberState{Member: Member{Name: name}, wake: make(chan struct{}, 1)}
		}
		m.peers["e7"].owns = true
		m.pingSample(m.peers["e7"])
		pinged := 0
		for _, p := range m.peers {
			pinged += len(p.wake)
		}
		qt.Check(t, pinged, qt.Equals, peerSampleSize)
	})
}

// TestConfirmationAmongMany checks that without the table service an owner among many entries still
// hears from all of them often enough to keep granting leases.
func TestConfirmationAmongMany(t *testing.T) {
	m := NewMembers(Member{Name: "me"}, nil, zerolog.Nop(), elapsed.New(), fixedEntry{})
	for i := range 96 {
		name := fmt.Sprintf("e%d", i)
		m.peers[name] = &memberState{Member: Member{Name: name}, wake: make(chan struct{}, 1)}
	}
	m.SetOwners(map[string]bool{"me": true})
	for _, p := range m.peers {
		qt.Check(t, m.nextPingDelay(p)+pingTimeout < shard.ConfirmationTTL, qt.IsTrue)
	}
}
