package httplimit

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// headCost is the memory that a byte of a head takes at most, in bytes: short fields become
	// entries of a map.
	headCost = 16
	// readAheadBytes is what the HTTP library may read beyond a head.
	readAheadBytes = 4096
	// lastLookTime is how long bytes are awaited that arrived as the time of a connection ended.
	lastLookTime = time.Millisecond
	// lingerTime is how long a connection stays open after such an answer, so that its client gets it.
	lingerTime = 500 * time.Millisecond
	// lingerBytes is what may be read meanwhile, in bytes.
	lingerBytes = 256 << 10
)

// Answers to heads that are not read to their end.
const (
	answerHeadTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	answerBusy         = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errHeadEnded is the error of a read of a head that was answered before its end; the HTTP library answers
// nothing to errors of this type.
var errHeadEnded = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head was answered before its end")}

// conn is a connection that counts what its client makes the process hold.
type conn struct {
	net.Conn
	server *Server

	// Guarded by the budget's lock.
	held     int           // bytes reserved
	element  *list.Element // nil while a handler acts on a request
	givesWay bool          // interrupted for others
	closed   bool

	mu        sync.Mutex
	inHead    bool
	idle      bool // kept after a request, until the library sets the time of idleness
	headBytes int  // read so far of the head
	closeOnce sync.Once
}

// Read reads bytes of a head within the limits, or of a body.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return n, err
	}
	if c.headBytes == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.lookAgain(p)
	}
	if c.headBytes == 0 && n > 0 {
		c.server.budget.awaitClient(c)
	}
	head := headPart(p[:n])
	c.headBytes += head
	switch {
	case err != nil && (c.headBytes == 0 || !c.interrupted()):
		return n, err
	case c.headBytes > c.server.maxHeadBytes()+readAheadBytes:
		return 0, c.refuse(RefusalHead, answerHeadTooLarge)
	case err != nil || !c.server.budget.reserve(c, head*headCost):
		return 0, c.refuse(RefusalBudget, answerBusy)
	}
	return n, nil
}

// lookAgain reads what has arrived although the time of the connection has ended; closed now, it would leave
// its client without knowing whether the request ran.
func (c *conn) lookAgain(p []byte) (n int, err error) {
	_ = c.setReadDeadline(time.Now().Add(lastLookTime))
	n, err = c.Conn.Read(p)
	if n > 0 {
		_ = c.setReadDeadline(time.Now().Add(c.server.headTime()))
	}
	return n, err
}

// headPart returns how many of the bytes that were read belong to the head; a body may follow.
func headPart(p []byte) int {
	const end = "\r\n\r\n"
	if i := bytes.Index(p, []byte(end)); i >= 0 {
		return i + len(end)
	}
	return len(p)
}

// refuse answers a head that is not read to its end, and drops what still arrives for a while.
func (c *conn) refuse(why Refusal, answer string) error {
	c.server.onRefusal(why)
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	_, _ = c.Conn.Write([]byte(answer)) // the connection is closed anyway
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	return errHeadEnded
}

// Write writes within a time limit.
func (c *conn) Write(p []byte) (n int, err error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.server.writeTime))
	return c.Conn.Write(p)
}

// CloseWrite lets the library close a connection in such a way that its client gets the answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline sets the deadline of reads, unless the connection has to give way. The library's times of
// a head and of idleness are replaced by those of the server.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.setReadDeadline(c.headDeadline(t))
}

// headDeadline returns the deadline in the place of t. While a head is awaited, the library sets that of a kept
// connection's idleness first, and that of the head when its first bytes have arrived.
func (c *conn) headDeadline(t time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.inHead:
		return t
	case c.idle:
		c.idle = false
		return time.Now().Add(c.server.idleTime())
	default:
		return time.Now().Add(c.server.headTime())
	}
}

func (c *conn) setReadDeadline(t time.Time) error {
	b := c.server.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.givesWay {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// interrupt ends the reads of the connection; the budget's lock is held.
func (c *conn) interrupt() {
	c.givesWay = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// interrupted reports whether the connection has to give way.
func (c *conn) interrupted() bool {
	b := c.server.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.givesWay
}

// Close closes the connection and releases what it holds.
func (c *conn) Close() error {
	c.closeOnce.Do(c.server.removed)
	c.server.budget.close(c)
	return c.Conn.Close()
}

// awaitHead begins the head of the next request; idle is whether the connection was kept after one.
func (c *conn) awaitHead(idle bool) {
	c.mu.Lock()
	c.inHead, c.idle, c.headBytes = true, idle, 0
	c.mu.Unlock()
	c.server.budget.awaitClient(c)
	c.server.budget.releaseAll(c)
}

// headRead ends the head of a request.
func (c *conn) headRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
}
