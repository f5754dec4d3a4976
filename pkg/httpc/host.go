package httpc

import (
	"context"
	"slices"
	"syscall"
	"time"
)

const (
	// idleConnTimeout is how long a connection without requests is kept.
	idleConnTimeout = 2 * time.Minute
	// sweepInterval is the time between two looks for idle connections that are closed or old.
	sweepInterval = 5 * time.Second
	// overdueAfter is how long after it was due an answer makes the kept connections of
	// its host suspect that were last heard before its request was sent; hosts
	// answer in milliseconds. A second try of a transaction, 250 ms after the
	// first, goes out on a connection that has been heard since, or on a new one.
	overdueAfter = 200 * time.Millisecond
)

// host is what is kept for one address; the client's lock guards it.
type host struct {
	idle   []*conn // the one used last is last
	active []*conn // with a request under way
	// suspectUntil is a time up to which nothing heard counts: a request sent then
	// has had no answer.
	suspectUntil time.Time
}

// getConn returns a kept connection to a host, or a new one.
func (c *Client) getConn(ctx context.Context, name string) (*conn, error) {
	if k := c.getIdleConn(name); k != nil {
		return k, nil
	}
	opened, err := c.dial(ctx, "tcp", name)
	if err != nil {
		return nil, err
	}
	k := &conn{Conn: opened, client: c, name: name, lastReceived: time.Now()}
	if s, ok := opened.(syscall.Conn); ok {
		k.raw, _ = s.SyscallConn() // without it a closed connection is noticed when it is used
	}
	return k, nil
}

// getIdleConn returns the kept connection of a host that was used last, nil if none is fit for use.
func (c *Client) getIdleConn(name string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[name]
	if h == nil {
		return nil
	}
	h.markSuspect(time.Now())
	for len(h.idle) > 0 {
		k := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if k.lastReceived.After(h.suspectUntil) && !k.isClosed() {
			k.reused = true
			return k
		}
		_ = k.Close()
	}
	return nil
}

// markSuspect puts kept connections in doubt while a request is without the answer that was due.
func (h *host) markSuspect(now time.Time) {
	for _, k := range h.active {
		if now.Sub(k.dueAt) > overdueAfter && k.sentAt.After(h.suspectUntil) {
			h.suspectUntil = k.sentAt
		}
	}
}

// startRequest notes a request that is about to be sent.
func (c *Client) startRequest(k *conn, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[k.name]
	if h == nil {
		h = &host{}
		c.hosts[k.name] = h
	}
	k.host = h
	k.sentAt = time.Now()
	k.dueAt = k.sentAt.Add(wait)
	h.active = append(h.active, k)
}

// finishRequest notes the end of a request, and keeps its connection or closes it.
func (c *Client) finishRequest(k *conn, keep bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	h := k.host
	if at := slices.Index(h.active, k); at >= 0 {
		h.active[at] = h.active[len(h.active)-1]
		h.active = h.active[:len(h.active)-1]
	}
	if err == nil {
		k.lastReceived = now
	} else if isTimeout(err) && k.sentAt.After(h.suspectUntil) {
		h.suspectUntil = k.sentAt
	}
	switch {
	case err != nil:
		k.abort()
	case keep && len(h.idle) < c.maxIdle:
		h.idle = append(h.idle, k)
	default:
		_ = k.Close()
	}
	if now.Sub(c.lastSweep) > sweepInterval {
		c.lastSweep = now
		c.sweep(now)
	}
}

// sweep closes idle connections that the other side has closed or that are old,
// so that those of workers that are gone hold no descriptors; the lock is held.
func (c *Client) sweep(now time.Time) {
	for name, h := range c.hosts {
		h.idle = slices.DeleteFunc(h.idle, func(k *conn) bool {
			old := now.Sub(k.lastReceived) > idleConnTimeout || !k.lastReceived.After(h.suspectUntil) || k.isClosed()
			if old {
				_ = k.Close()
			}
			return old
		})
		if len(h.idle) == 0 && len(h.active) == 0 {
			delete(c.hosts, name)
		}
	}
}
