package httplimit

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Refusal is why a client was not served.
type Refusal string

// Values of Refusal.
const (
	RefusalHead        Refusal = "head"        // the head is too large
	RefusalBudget      Refusal = "budget"      // the budget of bytes is in use
	RefusalConnections Refusal = "connections" // there are too many connections
	RefusalBody        Refusal = "body"        // the body is too large
	RefusalBodyTime    Refusal = "body_time"   // the body did not arrive in time
)

// unreadBodyTime is how long the library may read a body that the handler has left unread, so that the
// connection can be kept.
const unreadBodyTime = time.Second

// Server is an HTTP server whose clients are bounded.
type Server struct {
	http.Server
	budget       *Budget
	maxConns     int
	maxHeadBytes func() int
	headTime     func() time.Duration
	idleTime     func() time.Duration
	bodyTime     time.Duration
	writeTime    time.Duration
	onRefusal    func(Refusal)

	conns atomic.Int64 // open
}

// Option changes a server.
type Option func(*Server)

// MaxConns bounds the connections that are open at a time.
func MaxConns(n int) Option { return func(s *Server) { s.maxConns = n } }

// MaxHeadBytes bounds a request's head; the function is asked while a head arrives.
func MaxHeadBytes(f func() int) Option { return func(s *Server) { s.maxHeadBytes = f } }

// HeadTime bounds the time in which a head arrives; the function is asked when it begins.
func HeadTime(f func() time.Duration) Option { return func(s *Server) { s.headTime = f } }

// IdleTime bounds the time between two requests of a connection; the function is asked when it begins.
func IdleTime(f func() time.Duration) Option { return func(s *Server) { s.idleTime = f } }

// BodyTime bounds the time in which a body arrives.
func BodyTime(d time.Duration) Option { return func(s *Server) { s.bodyTime = d } }

// WriteTime bounds each write, so that a client that reads no answer is noticed.
func WriteTime(d time.Duration) Option { return func(s *Server) { s.writeTime = d } }

// OnRefusal has a function called for each client that is not served; it must not block.
func OnRefusal(f func(Refusal)) Option { return func(s *Server) { s.onRefusal = f } }

// Defaults of a server.
const (
	DefaultMaxHeadBytes = 32 << 10
	DefaultMaxConns     = 1024
	DefaultHeadTime     = 10 * time.Second
	DefaultIdleTime     = time.Minute
	DefaultBodyTime     = 10 * time.Minute
	DefaultWriteTime    = 20 * time.Second
)

// NewServer returns a server of a handler with a budget, which it may share with other servers.
func NewServer(h http.Handler, b *Budget, options ...Option) *Server {
	s := &Server{
		budget: b, maxConns: DefaultMaxConns, bodyTime: DefaultBodyTime, writeTime: DefaultWriteTime,
		maxHeadBytes: func() int { return DefaultMaxHeadBytes }, onRefusal: func(Refusal) {},
		headTime: func() time.Duration { return DefaultHeadTime }, idleTime: func() time.Duration { return DefaultIdleTime },
	}
	s.ReadHeaderTimeout, s.IdleTimeout = DefaultHeadTime, DefaultIdleTime // replaced by conn.SetReadDeadline
	for _, o := range options {
		o(s)
	}
	s.Handler, s.ConnState, s.ConnContext = s.bounded(h), connState, connContext
	return s
}

// Serve serves the connections of a listener within the bounds.
func (s *Server) Serve(ln net.Listener) error {
	return s.Server.Serve(&listener{Listener: ln, server: s})
}

// listener accepts connections within their bound.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, server: l.server}
		if l.server.added(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// added counts a connection. If there are too many, the one that waits longest for its client gives way.
func (s *Server) added(c *conn) bool {
	if int(s.conns.Load()) >= s.maxConns {
		s.onRefusal(RefusalConnections)
		longest := s.budget.longest(s)
		if longest == nil {
			return false
		}
		_ = longest.Close()
	}
	s.conns.Add(1)
	c.awaitHead(false)
	return true
}

// removed takes a connection off the count.
func (s *Server) removed() { s.conns.Add(-1) }

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, nil if its server is not bounded.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// connState follows the library from request to request.
func connState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.headRead()
	case http.StateIdle:
		c.awaitHead(true)
	}
}
