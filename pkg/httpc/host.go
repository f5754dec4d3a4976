package httpc

import (
	"context"
	"slices"
	"syscall"
	"time"
)

const (
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 2 * time.Minute
	// sweepInterval is the time between removals of closed and old idle connections.
	sweepInterval = 5 * time.Second
	// overdueAfter is the delay after conn.dueAt from which a missing response makes older idle
	// connections of the host suspect. It should be shorter than the callers' retry delay.
	overdueAfter = 200 * time.Millisecond
)

// host is the connection pool of one address, guarded by Client.mu.
type host struct {
	idle   []*conn // most recently used last
	active []*conn // with a request in progress
	// suspectBefore is the send time of the latest request whose response is overdue; connections
	// that have not received data since are not reused.
	suspectBefore time.Time
}

// getConn returns an idle connection to a host, or a new one.
func (c *Client) getConn(ctx context.Context, name string) (*conn, error) {
	if cn := c.getIdleConn(name); cn != nil {
		return cn, nil
	}
	netConn, err := c.dial(ctx, "tcp", name)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: netConn, client: c, name: name, lastReceived: time.Now()}
	if s, ok := netConn.(syscall.Conn); ok {
		cn.raw, _ = s.SyscallConn() // without it, a closed connection is noticed only on use
	}
	return cn, nil
}

// getIdleConn returns the most recently used idle connection of a host that is usable, nil if
// none.
func (c *Client) getIdleConn(name string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[name]
	if h == nil {
		return nil
	}
	h.markSuspect(time.Now())
	for len(h.idle) > 0 {
		cn := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if cn.lastReceived.After(h.suspectBefore) && !cn.isClosed() {
			cn.reused = true
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

// markSuspect makes idle connections suspect if the response to a request is overdue.
func (h *host) markSuspect(now time.Time) {
	for _, cn := range h.active {
		if now.Sub(cn.dueAt) > overdueAfter && cn.sentAt.After(h.suspectBefore) {
			h.suspectBefore = cn.sentAt
		}
	}
}

// startRequest registers a request that is about to be sent.
func (c *Client) startRequest(cn *conn, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[cn.name]
	if h == nil {
		h = &host{}
		c.hosts[cn.name] = h
	}
	cn.host = h
	cn.sentAt = time.Now()
	cn.dueAt = cn.sentAt.Add(wait)
	h.active = append(h.active, cn)
}

// finishRequest unregisters a request and returns its connection to the pool or closes it.
func (c *Client) finishRequest(cn *conn, keep bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	h := cn.host
	if at := slices.Index(h.active, cn); at >= 0 {
		h.active[at] = h.active[len(h.active)-1]
		h.active = h.active[:len(h.active)-1]
	}
	if err == nil {
		cn.lastReceived = now
	} else if isTimeout(err) && cn.sentAt.After(h.suspectBefore) {
		h.suspectBefore = cn.sentAt
	}
	switch {
	case err != nil:
		cn.abort()
	case keep && len(h.idle) < c.maxIdle:
		h.idle = append(h.idle, cn)
	default:
		_ = cn.Close()
	}
	if now.Sub(c.lastSweep) > sweepInterval {
		c.lastSweep = now
		c.sweep(now)
	}
}

// sweep closes idle connections that are old, suspect or closed by the host, to free their file
// descriptors; the caller holds mu.
func (c *Client) sweep(now time.Time) {
	for name, h := range c.hosts {
		h.idle = slices.DeleteFunc(h.idle, func(cn *conn) bool {
			old := now.Sub(cn.lastReceived) > idleConnTimeout || !cn.lastReceived.After(h.suspectBefore) || cn.isClosed()
			if old {
				_ = cn.Close()
			}
			return old
		})
		if len(h.idle) == 0 && len(h.active) == 0 {
			delete(c.hosts, name)
		}
	}
}
