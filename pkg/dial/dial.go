// Package dial opens TCP connections that notice a silent other side.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// A VM without power or behind a cut answers nothing, so that without these
// a connection to it would hang for minutes.
const (
	// connectTimeout bounds the opening of a connection; opening packets that are lost are sent again after a second.
	connectTimeout = 1200 * time.Millisecond
	// userTimeout is how long sent bytes may go unacknowledged.
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a dead connection on which nothing is sent, within 3 s.
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

// Context has the signature that net/http wants.
func Context(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// Refused tells whether an error says that nothing listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// NotSent tells whether an error arose while the connection was being opened, so that nothing was sent.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
