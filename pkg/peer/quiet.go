package peer

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// quietAfter is how long a call waits on a link on which nothing comes before
	// the peer is asked, on the same link, whether it is there.
	quietAfter = 150 * time.Millisecond
	// checkTimeout bounds the try of another link beside one that stays quiet.
	checkTimeout = time.Second
)

// errSilent is why a link is given up on which nothing comes while the peer answers on another.
var errSilent = errors.New("the link is silent and the peer answers on another")

// aloud asks a peer whether it is there, and for nothing else: no owner is newer
// than the version.
var aloud = &schema.Call{Kind: schema.CallKindPing, OwnersVersion: math.MaxInt64}

// check sees whether a link has fallen silent on which a call waits. It asks on
// the link first. If that brings nothing either, another link is opened, and takes
// the place of this one only once the peer has answered on it: a peer that is slow,
// or gone, is not served better by a new link.
func (c *Caller) check(l *callLink) {
	if !l.silentSinceAsked() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checking || c.link != l {
		return
	}
	c.checking = true
	go c.replaceIfSilent(l)
}

// silentSinceAsked tells whether the peer has left the question unanswered whether
// it is there; it asks it if nothing has come for a while.
func (l *callLink) silentSinceAsked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case now.Sub(l.heardAt) < quietAfter:
		return false
	case !l.askedAt.After(l.heardAt):
		l.askedAt = now
		go l.send(aloud)
		return false
	default:
		return now.Sub(l.askedAt) >= quietAfter
	}
}

// answeredQuestion tells whether anything has come since the peer was asked last.
func (l *callLink) answeredQuestion() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heardAt.After(l.askedAt)
}

// replaceIfSilent opens another link and gives the quiet one up if the peer answers on the new one only.
func (c *Caller) replaceIfSilent(quiet *callLink) {
	next, err := c.openChecked()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checking = false
	if err != nil {
		return // the calls on the quiet link find out themselves
	}
	if c.link != quiet || quiet.answeredQuestion() {
		next.fail(errors.New("not needed"))
		return
	}
	c.link = next
	quiet.fail(errSilent)
}

// openChecked opens a link and returns it once the peer has answered on it.
func (c *Caller) openChecked() (*callLink, error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	l, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	if _, err := l.call(ctx, aloud, func() {}); err != nil {
		l.fail(err)
		return nil, err
	}
	return l, nil
}
