package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
)

type connKey struct{} // of the connection in a request's context

// Attach makes an HTTP server tell the listener what its connections do. A request counts once it has arrived whole.
func (l *Listener) Attach(s *http.Server) {
	next := s.Handler
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.SetState(StateIdle)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			watchBody(c, r)
		}
		next.ServeHTTP(w, r)
	})
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
