// Package dial opens TCP connections that detect an unresponsive peer within seconds. Packages
// httpc and peer use it.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// These bound how long a connection to a VM without power or behind a network partition hangs.
const (
	// connectTimeout leaves time for one retransmission of a lost SYN, after 1 s.
	connectTimeout = 1200 * time.Millisecond
	// userTimeout is how long sent data may remain unacknowledged.
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead idle connection within
	// 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

var dialer = net.Dialer{
	Timeout: connectTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	},
	Control: setUserTimeout,
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = inner
	}
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}

// TCP opens a connection to a host:port.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// Context is TCP with the signature of http.Transport.DialContext.
func Context(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// Refused reports whether nothing listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// NotSent reports whether the connection could not be opened, so that nothing was sent.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
