package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/dial"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// dialTimeout bounds the dial of a peer.
	dialTimeout = 800 * time.Millisecond
	// callWriteTimeout bounds the write of one frame.
	callWriteTimeout = 2 * time.Second
)

// ErrNotSent reports a call that was not sent, so it had no effect.
type ErrNotSent struct {
	Refused bool // the connection was refused: no process listens at the address
	Cause   error
}

// Error returns the cause.
func (e ErrNotSent) Error() string { return "call was not sent: " + e.Cause.Error() }

// ErrNoAnswer reports a call that was not answered before its link broke or its context ended; it
// may have been executed.
type ErrNoAnswer struct{ Cause error }

// Error returns the cause.
func (e ErrNoAnswer) Error() string { return "no answer from peer: " + e.Cause.Error() }

// Caller sends concurrent calls to one peer over one link, which is opened on demand.
type Caller struct {
	address string

	mu        sync.Mutex
	link      *callLink
	dialing   chan struct{} // closed when the dial in progress has ended
	replacing bool          // a replacement of a stalled link is being dialed
}

// NewCaller returns a caller of the peer at a host:port address.
func NewCaller(address string) *Caller { return &Caller{address: address} }

// Call sends a call and waits for its reply. Errors wrap [ErrNotSent] or [ErrNoAnswer].
func (c *Caller) Call(ctx context.Context, q *schema.Call) (reply *schema.CallReply, err error) {
	defer func() { err = errors.Wrapf(err, "call peer %s", c.address) }()
	l, err := c.open(ctx)
	if err != nil {
		return nil, err
	}
	return l.call(ctx, q, func() { c.checkStalled(l) })
}

// LastReceived returns when data last arrived on the current link, the zero time if there was none.
func (c *Caller) LastReceived() time.Time {
	c.mu.Lock()
	l := c.link
	c.mu.Unlock()
	if l == nil {
		return time.Time{}
	}
	return l.lastReceived()
}

// Close closes the link; a later call opens a new one.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		c.link.fail(errors.New("closed"))
		c.link = nil
	}
}

// open returns the current link and dials one if there is none; concurrent calls share the dial.
func (c *Caller) open(ctx context.Context) (*callLink, error) {
	c.mu.Lock()
	for {
		if c.link != nil && !c.link.broken() {
			l := c.link
			c.mu.Unlock()
			return l, nil
		}
		if c.dialing == nil {
			break
		}
		wait := c.dialing
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ErrNotSent{Cause: ctx.Err()}
		}
		c.mu.Lock()
	}
	c.dialing = make(chan struct{})
	c.mu.Unlock()

	l, err := c.dial(ctx)

	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dialing)
	c.dialing = nil
	if err != nil {
		return nil, ErrNotSent{Refused: dial.Refused(err), Cause: err}
	}
	c.link = l
	return l, nil
}

func (c *Caller) dial(ctx context.Context) (*callLink, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial.TCP(ctx, c.address)
	if err != nil {
		return nil, err
	}
	return newCallLink(conn), nil
}
