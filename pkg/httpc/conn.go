package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// conn is one connection to a host; it carries one request at a time.
type conn struct {
	net.Conn
	client *Client
	name   string          // host:port
	host   *host           // of the request under way
	raw    syscall.RawConn // nil where the connection is no socket

	reused       bool      // it has carried a request before
	lastReceived time.Time // when it was opened or last answered

	// Of the request under way.
	sentAt      time.Time
	dueAt       time.Time     // from when its answer is overdue
	deadline    time.Time     // when the request ends, zero for never
	idleTimeout time.Duration // longest time without a byte, 0 for no such bound
	received    bool          // a byte of the answer has come
	readErr     error         // of the last read
}

// roundTrip sends a request and reads its answer; sent tells whether the host may
// have got any of it. Afterwards the connection is kept or closed.
func (k *conn) roundTrip(ctx context.Context, r *Request, resp *Response) (sent bool, err error) {
	k.setDeadlines(ctx, r)
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	keep := false
	defer func() {
		// Once the function for the end of ctx has begun, it may still strike the next request.
		keep = stop() && keep
		k.client.finishRequest(k, keep, err)
	}()
	if sent, err = k.send(r); err != nil {
		return sent, k.classifyError(ctx, err)
	}
	in := readers.Get().(*bufio.Reader)
	defer readers.Put(in)
	in.Reset(k)
	if keep, err = decode(in, resp); err != nil {
		if k.readErr != nil {
			err = k.readErr // the decoder does not tell which error it met
		}
		return true, k.classifyError(ctx, err)
	}
	return true, nil
}

// setDeadlines notes the bounds of a request.
func (k *conn) setDeadlines(ctx context.Context, r *Request) {
	k.deadline, _ = ctx.Deadline()
	k.idleTimeout, k.received, k.readErr = r.IdleTimeout, false, nil
	first := k.deadline
	if k.idleTimeout > 0 {
		first = earlier(k.deadline, time.Now().Add(r.LongPoll+k.idleTimeout))
	}
	_ = k.SetDeadline(first)
	k.client.startRequest(k, r.LongPoll)
}

func (k *conn) send(r *Request) (sent bool, err error) {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	*buf = r.encode((*buf)[:0])
	n, err := k.Write(*buf)
	return n > 0, err
}

// abort closes the connection and drops what it has not carried yet. After a mere close
// the system goes on sending: a request that was given up while its zone was cut off
// would reach its host once the cut is over, seconds later and behind those that a
// successor sent meanwhile. Of 250 KB that a host did not read before its caller
// gave up it read all afterwards, none now (TestGivenUpIsNotSent).
func (k *conn) abort() {
	if t, ok := k.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0) // fails on a connection that is closed already
	}
	_ = k.Close()
}

// Read implements io.Reader; each byte that comes puts the end of patience off.
func (k *conn) Read(p []byte) (n int, err error) {
	n, err = k.Conn.Read(p)
	if n > 0 {
		k.received = true
		if k.idleTimeout > 0 {
			_ = k.SetReadDeadline(earlier(k.deadline, time.Now().Add(k.idleTimeout)))
		}
	}
	k.readErr = err
	return n, err
}

// earlier returns the earlier of a time that may be zero for never and another.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// classifyError tells why a request failed.
func (k *conn) classifyError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errIdleTimeout{since: time.Since(k.sentAt)}
	case !k.received && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)):
		return errClosed{cause: err}
	default:
		return err
	}
}

// errIdleTimeout reports a host of which nothing came for the longest time allowed.
type errIdleTimeout struct{ since time.Duration }

func (e errIdleTimeout) Error() string {
	return "nothing came for too long, " + e.since.String() + " after sending"
}

// isTimeout tells whether a failure says that nothing came, rather than that the caller gave up.
func isTimeout(err error) bool {
	return errors.As(err, new(errIdleTimeout)) || errors.Is(err, context.DeadlineExceeded)
}

// isClosed tells whether the other side has isClosed an idle connection, or has sent
// something nobody asked for.
func (k *conn) isClosed() bool {
	if k.raw == nil {
		return false
	}
	nothing := false
	err := k.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothing = err == unix.EAGAIN
		return true
	})
	return err != nil || !nothing
}
