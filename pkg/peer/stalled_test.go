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

// stallableEntry is an entry whose links can be stalled, and a caller of it.
type stallableEntry struct {
	ln     *silence.Listener
	caller *peer.Caller
	delay  time.Duration // of replies, except to probes
}

func newStallableEntry(t *testing.T, delay time.Duration) *stallableEntry {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stallableEntry{ln: silence.Wrap(ln), caller: peer.NewCaller(ln.Addr().String()), delay: delay}
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

func (s *stallableEntry) call(t time.Duration) (took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), t)
	defer cancel()
	started := time.Now()
	_, err = s.caller.Call(ctx, &schema.Call{Kind: schema.CallKindState})
	return time.Since(started), err
}

// TestStalledLink checks that a call on a stalled link fails well before its own timeout, and that
// the next call succeeds at once on a new link.
func TestStalledLink(t *testing.T) {
	c := qt.New(t)
	s := newStallableEntry(t, 0)
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

// TestSlowPeer guards against replacing the link to a slow peer.
func TestSlowPeer(t *testing.T) {
	c := qt.New(t)
	s := newStallableEntry(t, 1200*time.Millisecond)
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
