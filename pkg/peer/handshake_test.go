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

// dialOnce returns a client of the server that can open one link only.
func (s *crowdTest) dialOnce() *peer.Client {
	dialed := false
	return peer.NewClient("peer", secret, peer.WithDial(func(context.Context, string, string) (net.Conn, error) {
		if dialed {
			return nil, net.ErrClosed
		}
		dialed = true
		return s.ln.dial()
	}))
}

// exchange makes a request.
func exchange(cl *peer.Client) error {
	_, err := cl.Exchange(context.Background(), &schema.PeerRequest{})
	return err
}

// TestCrowdBesideKnownPeer guards against the end of a known peer's link beside a crowd without handshakes.
func TestCrowdBesideKnownPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startRequests(t, newPipeListener(), answerRequest)
		known := s.dialOnce()
		defer known.Close()
		qt.Assert(t, exchange(known), qt.IsNil)
		for range crowdLinks {
			s.open()
		}
		qt.Check(t, exchange(known), qt.IsNil)
		s.stop()
	})
}

// TestCrowdOfKnownPeers guards against links that have made a request and keep others out, and against the
// end of a link whose request is being answered.
func TestCrowdOfKnownPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := true
		s := startRequests(t, newPipeListener(), func(ctx context.Context, q *schema.PeerRequest) *schema.PeerReply {
			if first {
				first = false
				time.Sleep(time.Second)
			}
			return answerRequest(ctx, q)
		})
		busy := s.dialOnce()
		answered := make(chan error, 1)
		go func() { answered <- exchange(busy) }()
		synctest.Wait()
		for range crowdLinks {
			cl := s.dialOnce()
			defer cl.Close()
			if err := exchange(cl); err != nil {
				t.Errorf("a new peer: %v", err)
				break
			}
			time.Sleep(time.Microsecond)
		}
		qt.Check(t, <-answered, qt.IsNil)
		busy.Close()
		s.stop()
	})
}
