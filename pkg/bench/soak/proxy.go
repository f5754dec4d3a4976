package soak

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// LinkState is what a proxy does with the bytes of its connections.
type LinkState string

// Values of LinkState.
const (
	LinkUp       LinkState = ""
	LinkSlow     LinkState = "slow"      // each read is delayed
	LinkCutThere LinkState = "cut_there" // what is sent to the server is lost
	LinkCutBack  LinkState = "cut_back"  // what the server sends is lost
	LinkSilent   LinkState = "silent"    // both are lost, also on new connections
	LinkReset    LinkState = "reset"     // connections are reset at once
	LinkHeld     LinkState = "held"      // what is sent on open connections arrives once the link is up, new ones work
)

// slowDelay is how long a slow link holds bytes back.
const slowDelay = 120 * time.Millisecond

// lateReadTime is how long the server has to read what was held after its sender has given up: the reset
// of the connection would discard it.
const lateReadTime = 300 * time.Millisecond

// proxy passes connections on to a server, as its state says.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state LinkState
	conns map[net.Conn]bool          // value: bytes of it were lost, so that it can't go on
	held  map[net.Conn]chan struct{} // closed when the connection is not held any more
}

// newProxy returns a proxy of a server on a free loopback port.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setState(LinkUp)
	p.closeConns(func(bool) bool { return true })
}

// setState changes what happens to all connections. Those that have lost bytes are closed when the link
// is up again, as by a time-out.
func (p *proxy) setState(s LinkState) {
	p.mu.Lock()
	p.state = s
	p.releaseLocked()
	if s == LinkHeld {
		p.holdLocked()
	}
	p.mu.Unlock()
	switch s {
	case LinkReset:
		p.closeConns(func(bool) bool { return true })
	case LinkUp:
		p.closeConns(func(lossy bool) bool { return lossy })
	}
}

// holdLocked holds what is sent on the open connections.
func (p *proxy) holdLocked() {
	released := make(chan struct{})
	p.held = map[net.Conn]chan struct{}{}
	for c := range p.conns {
		p.held[c] = released
	}
}

// releaseLocked lets pass what was held, also if the sender has closed its connection meanwhile.
func (p *proxy) releaseLocked() {
	for _, released := range p.held {
		close(released)
		break // one channel for all
	}
	p.held = nil
}

// awaitRelease waits while a connection is held; it reports whether it was.
func (p *proxy) awaitRelease(c net.Conn) (held bool) {
	p.mu.Lock()
	released := p.held[c]
	p.mu.Unlock()
	if released == nil {
		return false
	}
	<-released
	return true
}

// closeConns resets the connections for which the function, given whether they have lost bytes, is true.
func (p *proxy) closeConns(which func(lossy bool) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, lossy := range p.conns {
		if which(lossy) {
			reset(c)
			delete(p.conns, c)
		}
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	if p.track(c) == LinkReset {
		p.drop(c)
		return
	}
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		p.drop(c)
		return
	}
	p.track(s)
	go p.copy(s, c, LinkCutThere)
	p.copy(c, s, LinkCutBack)
}

// track adds a connection and returns the state of the link.
func (p *proxy) track(c net.Conn) LinkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = false
	return p.state
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	reset(c)
}

// copy passes bytes on until either connection ends; cut is the state in which this direction loses them.
// Only what is sent to the server is held.
func (p *proxy) copy(to, from net.Conn, cut LinkState) {
	defer p.drop(to)
	defer p.drop(from)
	buf := make([]byte, 32<<10)
	late := false // what was held has just been passed on
	for {
		n, err := from.Read(buf)
		if err != nil && late {
			time.Sleep(lateReadTime)
		}
		if err != nil {
			return
		}
		switch p.stateFor(from, to, cut) {
		case LinkSlow:
			time.Sleep(slowDelay)
		case cut, LinkSilent:
			continue
		}
		if cut == LinkCutThere {
			late = p.awaitRelease(from)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// stateFor returns the state of the link, and marks the connections that lose bytes by it.
func (p *proxy) stateFor(a, b net.Conn, cut LinkState) LinkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == cut || p.state == LinkSilent {
		p.conns[a], p.conns[b] = true, true
	}
	return p.state
}
