package connlimit

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
)

type connKey struct{} // of the connection in a request's context

// Attach makes an HTTP server tell the listener what its connections do. A request counts once it has arrived whole, or
// once its handler calls [Busy]. The server may serve a TLS listener that has this one inside.
func (l *Listener) Attach(s *http.Server) {
	next := s.Handler
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(conn))
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c := connOf(conn); c != nil && state == http.StateIdle {
			c.SetState(StateIdle)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := requestConn(r.Context()); c != nil {
			watchBody(c, r)
		}
		next.ServeHTTP(w, r)
	})
}

// Busy keeps the connection of a request open at the limit although the request's body has not arrived whole.
func Busy(ctx context.Context) {
	if c := requestConn(ctx); c != nil {
		c.SetState(StateBusy)
	}
}

// connOf returns a listener's connection, also from inside a TLS connection; nil for another one.
func connOf(conn net.Conn) *Conn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// requestConn returns the connection of a request, nil if its server is not attached.
func requestConn(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// watchBody marks the connection as busy when the request's body has been read.
func watchBody(c *Conn, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		c.SetState(StateBusy)
		return
	}
	r.Body = &watchedBody{ReadCloser: r.Body, conn: c}
}

// watchedBody is the body of a request that has not arrived whole yet.
type watchedBody struct {
	io.ReadCloser
	conn *Conn
	done bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err == io.EOF && !b.done {
		b.done = true
		b.conn.SetState(StateBusy)
	}
	return n, err
}
