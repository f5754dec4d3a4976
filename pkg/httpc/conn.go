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

// conn is a connection to a host. It carries one request at a time.
type conn struct {
	net.Conn
	client *Client
	name   string          // host:port
	host   *host           // of the current request
	raw    syscall.RawConn // nil if the connection is not a socket

	reused       bool      // has carried a request before
	lastReceived time.Time // when it was opened or last had a complete response

	// State of the current request.
	sentAt      time.Time
	dueAt       time.Time     // sentAt plus the request's LongPoll
	deadline    time.Time     // end of the request, zero for none
	idleTimeout time.Duration // longest time without a byte, 0 for none
	received    bool          // a byte of the response has arrived
	readErr     error         // of the last Read
}

// roundTrip sends a request and reads its response; sent reports whether the host may have
// received any of it. The connection is then returned to the pool or closed.
func (cn *conn) roundTrip(ctx context.Context, r *Request, resp *Response) (sent bool, err error) {
	cn.setDeadlines(ctx, r)
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	keep := false
	defer func() {
		// If the function for the end of ctx has started, it may still break the next request.
		keep = stop() && keep
		cn.client.finishRequest(cn, keep, err)
	}()
	if sent, err = cn.send(r); err != nil {
		return sent, cn.classifyError(ctx, err)
	}
	in := readers.Get().(*bufio.Reader)
	defer readers.Put(in)
	in.Reset(cn)
	if keep, err = decode(in, resp, r.MaxBody); err != nil {
		if cn.readErr != nil {
			err = cn.readErr // the decoder does not wrap the read error
		}
		return true, cn.classifyError(ctx, err)
	}
	return true, nil
}

// setDeadlines sets the time limits of a request.
func (cn *conn) setDeadlines(ctx context.Context, r *Request) {
	cn.deadline, _ = ctx.Deadline()
	cn.idleTimeout, cn.received, cn.readErr = r.IdleTimeout, false, nil
	first := cn.deadline
	if cn.idleTimeout > 0 {
		first = earlier(cn.deadline, time.Now().Add(r.LongPoll+cn.idleTimeout))
	}
	_ = cn.SetDeadline(first)
	cn.client.startRequest(cn, r.LongPoll)
}

func (cn *conn) send(r *Request) (sent bool, err error) {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	*buf = r.encode((*buf)[:0])
	n, err := cn.Write(*buf)
	return n > 0, err
}

// abort closes the connection and discards unsent data. After a plain close the kernel would
// keep sending: after a network partition, an abandoned request could reach its host later than
// those of a successor.
func (cn *conn) abort() {
	if t, ok := cn.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0) // fails if the connection is closed already
	}
	_ = cn.Close()
}

// Read implements io.Reader. Each read of data restarts the idle timeout.
func (cn *conn) Read(p []byte) (n int, err error) {
	n, err = cn.Conn.Read(p)
	if n > 0 {
		cn.received = true
		if cn.idleTimeout > 0 {
			_ = cn.SetReadDeadline(earlier(cn.deadline, time.Now().Add(cn.idleTimeout)))
		}
	}
	cn.readErr = err
	return n, err
}

// earlier returns the earlier of two times; a may be zero for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// classifyError converts an I/O error of a request.
func (cn *conn) classifyError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errIdleTimeout{since: time.Since(cn.sentAt)}
	case !cn.received && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)):
		return errClosed{cause: err}
	default:
		return err
	}
}

// errIdleTimeout reports a host that sent nothing within the idle timeout.
type errIdleTimeout struct{ since time.Duration }

func (e errIdleTimeout) Error() string {
	return "idle timeout, " + e.since.String() + " after sending"
}

// isTimeout reports whether the host was silent, as opposed to a cancelled request.
func isTimeout(err error) bool {
	return errors.As(err, new(errIdleTimeout)) || errors.Is(err, context.DeadlineExceeded)
}

// isClosed reports whether the host has closed the idle connection or sent unexpected data.
func (cn *conn) isClosed() bool {
	if cn.raw == nil {
		return false
	}
	nothing := false
	err := cn.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothing = err == unix.EAGAIN
		return true
	})
	return err != nil || !nothing
}
