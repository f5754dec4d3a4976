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
	// dialTimeout bounds the opening of a link between entries of one region.
	dialTimeout = 800 * time.Millisecond
	// callWriteTimeout is how long a peer may leave a frame unread before its link is closed.
	callWriteTimeout = 2 * time.Second
)

// ErrNotSent reports a call that did not reach the peer, so that it had no effect there.
type ErrNotSent struct {
	Refused bool // nothing listens at the address, the process is not there
	Cause   error
}

// Error says why.
func (e ErrNotSent) Error() string { return "call was not sent: " + e.Cause.Error() }

// ErrLinkLost reports a call whose answer did not come; it may have had its effect.
type ErrLinkLost struct{ Cause error }

// Error says how the answer was lost.
func (e ErrLinkLost) Error() string { return "no answer from peer: " + e.Cause.Error() }

// Caller carries many calls at once to one peer, over one link that is opened when needed.
type Caller struct {
	address string

	mu       sync.Mutex
	link     *callLink
	dialing  chan struct{} // closed when the dial under way has ended
	checking bool          // a link is being tried beside one that is quiet
}

// NewCaller returns a caller of the peer at a host:port.
func NewCaller(address string) *Caller { return &Caller{address: address} }

// Call sends a call and waits for its reply.
func (c *Caller) Call(ctx context.Context, q *schema.Call) (reply *schema.CallReply, err error) {
	defer func() { err = errors.Wrapf(err, "call peer %s", c.address) }()
	l, err := c.open(ctx)
	if err != nil {
		return nil, err
	}
	return l.call(ctx, q, func() { c.check(l) })
}

// Heard is when something last came from the peer on the present link, the zero
// time if there is none.
func (c *Caller) Heard() time.Time {
	c.mu.Lock()
	l := c.link
	c.mu.Unlock()
	if l == nil {
		return time.Time{}
	}
	return l.heard()
}

// Close closes the link; a later call opens another.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		c.link.fail(errors.New("closed"))
		c.link = nil
	}
}

// open returns the link, dialling it when there is none; calls share one dial.
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

// dial opens a link.
func (c *Caller) dial(ctx context.Context) (*callLink, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial.TCP(ctx, c.address)
	if err != nil {
		return nil, err
	}
	return newCallLink(conn), nil
}
