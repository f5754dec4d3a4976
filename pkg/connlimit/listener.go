package connlimit

import (
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/logtally"
)

// State is what a connection does.
type State string

// Values of State.
const (
	StateNew  State = "new"  // no request has arrived yet
	StateBusy State = "busy" // a request is being answered
	StateIdle State = "idle" // it waits for a request after the first
)

// Listener accepts a limited number of connections.
type Listener struct {
	net.Listener
	max    int
	log    zerolog.Logger
	closed *logtally.Tally

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a listener with at most limit open connections, which goes on accepting after temporary errors. At the limit
// it closes the connection that has waited longest for a request, or the new one if none waits. Connections without any
// request so far are closed first if they are half of all.
func New(ln net.Listener, limit int, log zerolog.Logger) *Listener {
	return &Listener{
		Listener: NewRetrying(ln, log), max: limit, log: log, closed: logtally.New(logInterval), conns: map[*Conn]struct{}{},
	}
}

// Accept implements net.Listener; connections are of type *[Conn].
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		added := &Conn{Conn: conn, l: l, state: StateNew, since: time.Now()}
		surplus := l.add(added)
		if surplus == nil {
			return added, nil
		}
		_ = surplus.Conn.Close()
		if n := l.closed.Add(); n > 0 {
			l.log.Warn().Str("event", "connections_limited").Stringer("address", l.Addr()).Int("limit", l.max).Int("count", n).Send()
		}
		if surplus != added {
			return added, nil
		}
	}
}

// add adds a connection and returns the one to close for it, which may be itself; nil if there is room.
func (l *Listener) add(c *Conn) (surplus *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.max {
		surplus = l.surplus()
		if surplus == nil {
			return c
		}
		delete(l.conns, surplus)
	}
	l.conns[c] = struct{}{}
	return surplus
}

// surplus returns the connection to close at the limit, nil if all are busy.
func (l *Listener) surplus() *Conn {
	var oldestNew, oldestIdle *Conn
	fresh := 0
	for c := range l.conns {
		switch c.state {
		case StateNew:
			fresh++
			oldestNew = older(oldestNew, c)
		case StateIdle:
			oldestIdle = older(oldestIdle, c)
		}
	}
	if oldestIdle == nil || fresh >= l.max/2 && oldestNew != nil {
		return oldestNew
	}
	return oldestIdle
}

// older returns the connection that has been in its state for longer.
func older(a, b *Conn) *Conn {
	if a == nil || b.since.Before(a.since) {
		return b
	}
	return a
}

// Conn is a connection of a [Listener].
type Conn struct {
	net.Conn
	l *Listener

	// Guarded by the listener's lock.
	state State
	since time.Time // of the state
}

// SetState tells the listener what the connection does.
func (c *Conn) SetState(s State) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.state, c.since = s, time.Now()
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, if the connection can do that.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
