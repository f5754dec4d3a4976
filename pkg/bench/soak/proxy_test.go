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
			p, err := newProxy(echoServer(t))
			qt.Assert(t, err, qt.IsNil)
			defer p.close()
			before, err := net.Dial("tcp", p.address())
			qt.Assert(t, err, qt.IsNil)
			defer before.Close()
			checkAnswers(t, before, true)
			p.setState(tc.state)
			checkAnswers(t, before, tc.old)
			checkNewAnswers(t, p, tc.new)
			p.setState(LinkUp)
			checkAnswers(t, before, tc.old)
			checkNewAnswers(t, p, true)
		})
	}
}

// checkNewAnswers checks whether a byte sent on a new connection comes back. A reset may come before the
// connection is established.
func checkNewAnswers(t *testing.T, p *proxy, want bool) {
	t.Helper()
	c, err := net.Dial("tcp", p.address())
	if err != nil {
		qt.Check(t, want, qt.IsFalse, qt.Commentf("%v", err))
		return
	}
	defer c.Close()
	checkAnswers(t, c, want)
}

// checkAnswers checks whether a byte sent on a connection comes back.
func checkAnswers(t *testing.T, c net.Conn, want bool) {
	t.Helper()
	within := 4 * slowDelay
	if want {
		within = time.Minute // however busy the machine is
	}
	_ = c.SetDeadline(time.Now().Add(within)) // a failure shows in the calls below
	_, err := c.Write([]byte{1})
	if err == nil {
		_, err = io.ReadFull(c, make([]byte, 1))
	}
	qt.Check(t, err == nil, qt.Equals, want, qt.Commentf("%v", err))
}

// TestProxyHolds checks that what was sent on an open connection arrives once the link is up again, after
// what was sent later on a new one, and though its sender has given up.
func TestProxyHolds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	received := make(chan byte, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 1)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					received <- buf[0]
				}
			}()
		}
	}()
	p, err := newProxy(l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer p.close()
	send := func(c net.Conn, b byte) {
		_, err := c.Write([]byte{b})
		qt.Assert(t, err, qt.IsNil)
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.address())
		qt.Assert(t, err, qt.IsNil)
		return c
	}
	before := dial()
	send(before, 1)
	qt.Assert(t, <-received, qt.Equals, byte(1))
	p.setState(LinkHeld)
	send(before, 2)
	qt.Assert(t, before.Close(), qt.IsNil)
	later := dial()
	defer later.Close()
	send(later, 3)
	qt.Assert(t, <-received, qt.Equals, byte(3))
	p.setState(LinkUp)
	qt.Assert(t, <-received, qt.Equals, byte(2))
}
