package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/bench/silence"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// silentCalls is an entry whose links can fall silent, and a caller of it.
type silentCalls struct {
	ln     *silence.Listener
	caller *peer.Caller
	delay  time.Duration // of answers but those to pings
}

func newSilentCalls(t *testing.T, delay time.Duration) *silentCalls {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silentCalls{ln: silence.Wrap(ln), caller: peer.NewCaller(ln.Addr().String()), delay: delay}
	ctx, cancel := context.WithCancel(context.Background())
	server := peer.NewCallServer(s.ln, func(_ context.Context, q *schema.Call) *schema.CallReply {
		if q.Kind != schema.CallKindPing {
			time.Sleep(s.delay)
		}
		return &schema.CallReply{Outcome: schema.CallOutcomeOk}
	}, zerolog.Nop())
	go func() { _ = server.Serve(ctx) }()
	t.Cleanup(func() { cancel(); s.caller.Close() })
	return s
}

func (s *silentCalls) call(t time.Duration) (took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), t)
	defer cancel()
	started := time.Now()
	_, err = s.caller.Call(ctx, &schema.Call{Kind: schema.CallKindState})
	return time.Since(started), err
}

// TestSilentLink has a link fall silent twice: what was sent on it is given up well
// before the caller's time is over, and what is asked next is answered at once.
func TestSilentLink(t *testing.T) {
	c := qt.New(t)
	s := newSilentCalls(t, 0)
	for range 2 {
		_, err := s.call(10 * time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(s.ln.Silence(1), qt.Equals, 1)
		took, err := s.call(10 * time.Second)
		c.Check(err, qt.IsNotNil)
		c.Check(took < 5*time.Second, qt.IsTrue, qt.Commentf("given up after %v", took))
		_, err = s.call(10 * time.Second)
		c.Check(err, qt.IsNil)
	}
	c.Check(s.ln.Accepted(), qt.Equals, 3)
}

// TestSlowPeer has an entry take long for its answers: its link is not held for silent.
func TestSlowPeer(t *testing.T) {
	c := qt.New(t)
	s := newSilentCalls(t, 1200*time.Millisecond)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			_, err := s.call(20 * time.Second)
			c.Check(err, qt.IsNil)
		})
	}
	wg.Wait()
	c.Check(s.ln.Accepted(), qt.Equals, 1)
}
