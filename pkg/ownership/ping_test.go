package ownership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// TestNewOwnerIsPinged has an entry among many, which is pinged rarely, become an
// owner: it is asked at once, before its last answer is too old for an owner's.
func TestNewOwnerIsPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMembers(Member{Name: "me"}, nil, zerolog.Nop(), time.Now(), here{})
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
