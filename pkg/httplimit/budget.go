package httplimit

import (
	"container/list"
	"sync"
	"time"
)

// defaultReleaseTimeout bounds the wait for a connection that has to give way.
const defaultReleaseTimeout = time.Second

// Budget is a number of bytes that the requests under way may take together, of one server or several.
type Budget struct {
	mu       sync.Mutex
	limit    int
	used     int
	waiting  *list.List    // of *conn that wait for their clients, the longest first
	released chan struct{} // closed when bytes are released

	releaseTimeout time.Duration // of the wait for a connection that has to give way
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int) *Budget {
	return &Budget{limit: limit, waiting: list.New(), released: make(chan struct{}), releaseTimeout: defaultReleaseTimeout}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// reserve adds n bytes to those of a connection. If they don't fit, connections that wait for their
// clients longer than this one give way. A connection that is alone may have any number.
func (b *Budget) reserve(c *conn, n int) bool {
	timeout := time.NewTimer(b.releaseTimeout)
	defer timeout.Stop()
	for {
		released, ok := b.tryReserve(c, n)
		if ok || released == nil {
			return ok
		}
		select {
		case <-released:
		case <-timeout.C:
			return false
		}
	}
}

// tryReserve is one try of reserve; released is nil if no connection can give way.
func (b *Budget) tryReserve(c *conn, n int) (released <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.givesWay {
		return nil, false
	}
	if b.used+n <= b.limit || b.used == c.held {
		b.used += n
		c.held += n
		return nil, true
	}
	if !b.giveWay(c, b.used+n-b.limit) {
		return nil, false
	}
	return b.released, false
}

// giveWay interrupts connections that hold at least n bytes together and wait longer than c.
func (b *Budget) giveWay(c *conn, n int) bool {
	for e := b.waiting.Front(); e != nil && n > 0; e = e.Next() {
		other := e.Value.(*conn)
		if other == c {
			return false
		}
		n -= other.held
		if other.held > 0 && !other.givesWay {
			other.interrupt()
			b.wake() // it may wait here itself
		}
	}
	return n <= 0
}

// longest returns the connection of a server that waits longest for its client, nil for none.
func (b *Budget) longest(s *Server) *conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.server == s {
			return c
		}
	}
	return nil
}

// release takes n bytes from those of a connection; one that is closed has none.
func (b *Budget) release(c *conn, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(c, n)
}

// releaseAll takes all bytes from those of a connection.
func (b *Budget) releaseAll(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(c, c.held)
}

func (b *Budget) releaseLocked(c *conn, n int) {
	if n = min(n, c.held); n == 0 {
		return
	}
	b.used -= n
	c.held -= n
	b.wake()
}

// wake has all connections that wait for bytes try again.
func (b *Budget) wake() {
	close(b.released)
	b.released = make(chan struct{})
}

// awaitClient records that a connection waits for its client from now on.
func (b *Budget) awaitClient(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeLocked(c)
	if !c.closed {
		c.element = b.waiting.PushBack(c)
	}
}

// act records that a handler acts on a request, which is not interrupted any more. It reports false if the
// connection had to give way before.
func (b *Budget) act(c *conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeLocked(c)
	return !c.givesWay
}

// close releases all bytes of a connection, which can reserve no others.
func (b *Budget) close(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeLocked(c)
	b.releaseLocked(c, c.held)
	c.closed, c.givesWay = true, true
}

// removeLocked takes a connection off those that wait.
func (b *Budget) removeLocked(c *conn) {
	if c.element != nil {
		b.waiting.Remove(c.element)
		c.element = nil
	}
}
