package connlimit

import (
	"container/list"
	"net"
	"sync"

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

	mu      sync.Mutex
	open    int
	waiting map[State]*list.List // of *Conn, the one that has waited longest first
}

// New returns a listener with at most limit open connections, which goes on accepting after temporary errors. At the limit
// it closes the connection that has waited longest for a request, or the new one if none waits. Connections without any
// request so far are closed first if they are half of all.
func New(ln net.Listener, limit int, log zerolog.Logger) *Listener {
	return &Listener{
		Listener: NewRetrying(ln, log), max: limit, log: log, closed: logtally.New(logInterval),
		waiting: map[State]*list.List{StateNew: list.New(), StateIdle: list.New()},
	}
}

// Accept implements net.Listener; connections are of type *[Conn].
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		added := &Conn{Conn: conn, l: l}
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
	if l.open >= l.max {
		surplus = l.surplus()
		if surplus == nil {
			return c
		}
		l.remove(surplus)
	}
	l.open++
	c.open = true
	l.move(c, StateNew)
	return surplus
}

// surplus returns the connection to close at the limit, nil if all are busy.
func (l *Listener) surplus() *Conn {
	fresh, idle := l.waiting[StateNew], l.waiting[StateIdle]
	e := idle.Front()
	if e == nil || fresh.Len() >= l.max/2 && fresh.Len() > 0 {
		e = fresh.Front()
	}
	if e == nil {
		return nil
	}
	return e.Value.(*Conn)
}

// move changes the state of a connection.
func (l *Listener) move(c *Conn, s State) {
	if c.element != nil {
		l.waiting[c.state].Remove(c.element)
		c.element = nil
	}
	c.state = s
	if waiting := l.waiting[s]; waiting != nil {
		c.element = waiting.PushBack(c)
	}
}

// remove takes a connection off those that are open.
func (l *Listener) remove(c *Conn) {
	if !c.open {
		return
	}
	l.move(c, StateBusy)
	l.open--
	c.open = false
}

// Conn is a connection of a [Listener].
type Conn struct {
	net.Conn
	l *Listener

	// Guarded by the listener's lock.
	state   State
	element *list.Element // among those that wait, nil if it does not
	open    bool
}

// SetState tells the listener what the connection does.
func (c *Conn) SetState(s State) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.open {
		c.l.move(c, s)
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.l.mu.Lock()
	c.l.remove(c)
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
