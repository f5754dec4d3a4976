package soak

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echoServer answers each connection with what it receives.
func echoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// TestProxy checks what a caller gets back through a proxy in each state, on a connection that was open
// before and on a new one, and that lossy connections end when the link is up again.
func TestProxy(t *testing.T) {
	for _, tc := range []struct {
		state    LinkState
		old, new bool // a byte comes back
	}{
		{state: LinkUp, old: true, new: true},
		{state: LinkSlow, old: true, new: true},
		{state: LinkCutThere},
		{state: LinkCutBack},
		{state: LinkSilent},
		{state: LinkReset},
	} {
		t.Run("state="+string(tc.state), func(t *testing.T) {
			p, err := newProxy()
			qt.Assert(t, err, qt.IsNil)
			defer p.close()
			p.target = echoServer(t)
			before := dial(t, p)
			qt.Assert(t, answers(before), qt.IsTrue)
			p.setState(tc.state)
			qt.Check(t, answers(before), qt.Equals, tc.old)
			qt.Check(t, answers(dial(t, p)), qt.Equals, tc.new)
			p.setState(LinkUp)
			qt.Check(t, answers(before), qt.Equals, tc.old)
			qt.Check(t, answers(dial(t, p)), qt.IsTrue)
		})
	}
}

func dial(t *testing.T, p *proxy) net.Conn {
	c, err := net.Dial("tcp", p.address())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// answers reports whether a byte sent on a connection comes back.
func answers(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(4 * slowDelay)) // a failure shows in the calls below
	if _, err := c.Write([]byte{1}); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}
