package ownership

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// TestSlowOwnerIsAlive guards against taking over from an owner that answers each ping after its
// timeout.
func TestSlowOwnerIsAlive(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	slow := peer.NewCallServer(ln, func(context.Context, *schema.Call) *schema.CallReply {
		time.Sleep(1300 * time.Millisecond)
		return &schema.CallReply{Outcome: schema.CallOutcomeOk}
	}, zerolog.Nop())
	go func() { _ = slow.Serve(ctx) }()

	m := NewMembers(Member{Name: "me"}, nil, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(time.Now().Add(-time.Minute))), fixedEntry{reachesStore: true})
	p := &memberState{
		Member: Member{Name: "o", Address: ln.Addr().String()}, caller: peer.NewCaller(ln.Addr().String()),
		wake: make(chan struct{}, 1), owns: true, heardAt: m.now(),
	}
	m.peers["o"] = p
	go m.pingLoop(ctx, p)
	time.Sleep(2 * time.Second) // until late answers arrive regularly
	alive := func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.alive(p)
	}
	for range 30 {
		c.Assert(alive(), qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
	}
}
