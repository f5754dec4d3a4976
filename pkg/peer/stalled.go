package peer

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// idleProbeDelay is how long a call waits on a link without incoming data before the peer is
	// probed on the same link.
	idleProbeDelay = 150 * time.Millisecond
	// replaceTimeout bounds the attempt to replace a stalled link.
	replaceTimeout = time.Second
)

// errLinkStalled is the error of a link that was replaced.
var errLinkStalled = errors.New("link stalled and was replaced")

// probe is a ping with the highest version of the owner table, so that the reply lists no rows of it.
var probe = &schema.Call{Kind: schema.CallKindPing, OwnersVersion: math.MaxInt64}

// checkStalled replaces a link that has stalled while a call waits on it. It probes the peer on
// that link first. If no data arrives, it opens another link and switches to it only once the peer
// has answered there, since a new link does not help with a slow or failed peer.
func (c *Caller) checkStalled(l *callLink) {
	if !l.probeIfSilent() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replacing || c.link != l {
		return
	}
	c.replacing = true
	go c.replaceIfStalled(l)
}

// probeIfSilent sends a probe if no data has arrived for idleProbeDelay. It reports whether an
// earlier probe has gone unanswered for as long.
func (l *callLink) probeIfSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case now.Sub(l.receivedAt) < idleProbeDelay:
		return false
	case !l.probedAt.After(l.receivedAt):
		l.probedAt = now
		go l.send(probe)
		return false
	default:
		return now.Sub(l.probedAt) >= idleProbeDelay
	}
}

// probeAnswered reports whether data has arrived since the last probe.
func (l *callLink) probeAnswered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.receivedAt.After(l.probedAt)
}

// replaceIfStalled opens another link and closes the stalled one if the peer answers only on the
// new one.
func (c *Caller) replaceIfStalled(stalled *callLink) {
	next, err := c.dialProbed()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replacing = false
	if err != nil {
		return // the calls on the stalled link time out on their own
	}
	if c.link != stalled || stalled.probeAnswered() {
		next.fail(errors.New("link is not needed"))
		return
	}
	c.link = next
	stalled.fail(errLinkStalled)
}

// dialProbed opens a link and returns it once the peer has answered a probe on it.
func (c *Caller) dialProbed() (*callLink, error) {
	ctx, cancel := context.WithTimeout(context.Background(), replaceTimeout)
	defer cancel()
	l, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	if _, err := l.call(ctx, probe, func() {}); err != nil {
		l.fail(err)
		return nil, err
	}
	return l, nil
}
