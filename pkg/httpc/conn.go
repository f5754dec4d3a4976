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

	kept    bool      // it has carried a request before
	heardAt time.Time // when it was opened or last answered

	// Of the request under way.
	sentAt  time.Time
	dueAt   time.Time     // from when its answer is overdue
	until   time.Time     // when the request ends, zero for never
	silence time.Duration // longest time without a byte, 0 for no such bound
	heard   bool          // a byte of the answer has come
	readErr error         // of the last read
}

// exchange sends a request and reads its answer; sent tells whether the host may
// have got any of it. Afterwards the connection is kept or closed.
func (k *conn) exchange(ctx context.Context, r *Request, resp *Response) (sent bool, err error) {
	k.begin(ctx, r)
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	keep := false
	defer func() {
		// Once the function for the end of ctx has begun, it may still strike the next request.
		keep = stop() && keep
		k.client.done(k, keep, err)
	}()
	if sent, err = k.send(r); err != nil {
		return sent, k.cause(ctx, err)
	}
	in := readers.Get().(*bufio.Reader)
	defer readers.Put(in)
	in.Reset(k)
	if keep, err = decode(in, resp); err != nil {
		if k.readErr != nil {
			err = k.readErr // the decoder does not tell which error it met
		}
		return true, k.cause(ctx, err)
	}
	return true, nil
}

// begin notes the bounds of a request.
func (k *conn) begin(ctx context.Context, r *Request) {
	k.until, _ = ctx.Deadline()
	k.silence, k.heard, k.readErr = r.IdleTimeout, false, nil
	first := k.until
	if k.silence > 0 {
		first = earlier(k.until, time.Now().Add(r.LongPoll+k.silence))
	}
	_ = k.SetDeadline(first)
	k.client.begin(k, r.LongPoll)
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
		k.heard = true
		if k.silence > 0 {
			_ = k.SetReadDeadline(earlier(k.until, time.Now().Add(k.silence)))
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

// cause tells why a request failed.
func (k *conn) cause(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errSilent{since: time.Since(k.sentAt)}
	case !k.heard && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)):
		return errClosed{cause: err}
	default:
		return err
	}
}

// errSilent reports a host of which nothing came for the longest time allowed.
type errSilent struct{ since time.Duration }

func (e errSilent) Error() string {
	return "nothing came for too long, " + e.since.String() + " after sending"
}

// silent tells whether a failure says that nothing came, rather than that the caller gave up.
func silent(err error) bool {
	return errors.As(err, new(errSilent)) || errors.Is(err, context.DeadlineExceeded)
}

// closed tells whether the other side has closed an idle connection, or has sent
// something nobody asked for.
func (k *conn) closed() bool {
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
