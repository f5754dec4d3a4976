package peer_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// TestSilentLink guards against links that stay open without a call: from the start, within the first
// frame, within a later one, and after one.
func TestSilentLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startCalls(t, newPipeListener(), answerOk)
		s.open()
		_, err := s.open().Write([]byte{0, 0})
		qt.Assert(t, err, qt.IsNil)
		later := s.open()
		qt.Assert(t, callOn(later), qt.IsNil)
		_, err = later.Write([]byte{0, 0, 1, 0, 1})
		qt.Assert(t, err, qt.IsNil)
		after := s.open()
		qt.Assert(t, callOn(after), qt.IsNil)
		time.Sleep(time.Minute)
		qt.Check(t, s.closedOnes(), qt.Equals, 3)
		qt.Check(t, s.isClosed(after), qt.IsFalse)
		time.Sleep(10 * time.Minute)
		qt.Check(t, s.isClosed(after), qt.IsTrue)
		s.stop()
	})
}

// TestSlowFrame guards against a frame that arrives one byte at a time.
func TestSlowFrame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startCalls(t, newPipeListener(), answerOk)
		c := s.open()
		_, err := c.Write([]byte{0, 0, 1, 0})
		for range 60 {
			time.Sleep(time.Second)
			if err == nil {
				_, err = c.Write([]byte{1})
			}
		}
		qt.Check(t, err, qt.IsNotNil)
		s.stop()
	})
}

// TestCrowdOfCallers guards against a crowd of silent links that takes all memory or keeps peers out.
func TestCrowdOfCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startCalls(t, newPipeListener(), answerOk)
		known, err := s.ln.dial()
		qt.Assert(t, err, qt.IsNil)
		defer known.Close()
		qt.Assert(t, callOn(known), qt.IsNil)
		for range crowdLinks {
			s.open()
		}
		synctest.Wait()
		qt.Check(t, crowdLinks-s.closedOnes() < allLinks, qt.IsTrue)
		qt.Check(t, callOn(known), qt.IsNil, qt.Commentf("a known peer was kept out"))
		s.checkServed()
		s.stop()
	})
}

// TestCrowdOfIdleCallers does so with links that have made a call, and a peer that goes on making some.
func TestCrowdOfIdleCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startCalls(t, newPipeListener(), answerOk)
		known, err := s.ln.dial()
		qt.Assert(t, err, qt.IsNil)
		defer known.Close()
		for range crowdLinks {
			qt.Assert(t, callOn(s.open()), qt.IsNil)
			qt.Assert(t, callOn(known), qt.IsNil)
			time.Sleep(time.Millisecond)
		}
		qt.Check(t, crowdLinks-s.closedOnes() < allLinks, qt.IsTrue)
		s.checkServed()
		s.stop()
	})
}

// TestCrowdBeforeHandshake guards against a crowd that keeps peers of the membership out.
func TestCrowdBeforeHandshake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startRequests(t, newPipeListener(), answerRequest)
		for range crowdLinks {
			s.open()
		}
		cl := peer.NewClient("peer", secret, peer.WithDial(func(context.Context, string, string) (net.Conn, error) { return s.ln.dial() }))
		defer cl.Close()
		_, err := cl.Exchange(context.Background(), &schema.PeerRequest{})
		qt.Check(t, err, qt.IsNil)
		s.stop()
	})
}
