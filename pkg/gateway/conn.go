package gateway

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/gateway/limit"
)

// Settings of the transport to a backend server.
const (
	dialTimeout            = 500 * time.Millisecond
	idleConnTimeout        = 30 * time.Second
	maxIdlePerHost         = 64
	maxResponseHeaderBytes = 64 << 10
	keepAlivePeriod        = 15 * time.Second
)

var errAttemptAbandoned = errors.New("the exchange was given up")

// countingConn counts the bytes written. It rejects writes after closeAndCount.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	closed  bool
}

// Write implements net.Conn. It fails after closeAndCount.
func (c *countingConn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, errAttemptAbandoned
	}
	n, err = c.Conn.Write(p)
	if err != nil && n == 0 && len(p) > 0 {
		n = 1 // the kernel may have taken some bytes of a failed write: never report zero
	}
	c.written += int64(n)
	return min(n, len(p)), err
}

// bytesWritten returns the number of bytes written so far.
func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// closeAndCount closes the connection and returns the number of bytes ever written to it.
func (c *countingConn) closeAndCount() int64 {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // unblocks a Write that holds the mutex
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.Close()
	return c.written
}

// newServer returns a server with its own transport, so that its connections can be closed
// separately.
func (g *Gateway) newServer(name, zone, address string) *Server {
	s := &Server{
		Name: name, Zone: zone, Address: address,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := g.dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: conn}, nil
			},
			DisableCompression:     true,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			Protocols:              http1Only(),
		},
	}
	if g.settings.Limits {
		s.limit = limit.NewAdaptive(math.MaxInt32)
	}
	return s
}

// dialTCP opens a TCP connection with a timeout and keep-alive.
func dialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return d.DialContext(ctx, network, addr)
}

func http1Only() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}
