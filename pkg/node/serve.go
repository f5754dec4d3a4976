package node

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection without requests is kept.
	idleTimeout = time.Minute
)

// closingUnlessReady has callers open a new connection, at another node, for what
// they ask after this answer: an open connection stays with its node.
func (n *Node) closingUnlessReady(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ready, _ := n.Ready(); !ready {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// httpActor is an HTTP server with its listener.
type httpActor struct {
	server      *http.Server
	ln          net.Listener
	interrupted chan struct{} // closed when the server's connections are to be closed
}

// listenHTTP returns a server that listens already, so that an address in use ends the start.
func listenHTTP(address string, h http.Handler) (*httpActor, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &httpActor{
		ln: ln, interrupted: make(chan struct{}),
		server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}, nil
}

// serve returns when the server fails or is interrupted. A server that shuts
// down still answers the requests that are open, so that its end of listening is
// not the end of the actor, which would end all others.
func (a *httpActor) serve() error {
	if err := a.server.Serve(a.ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", a.ln.Addr())
	}
	<-a.interrupted
	return nil
}

// interrupt closes all connections; oklog/run calls it once.
func (a *httpActor) interrupt(error) {
	close(a.interrupted)
	_ = a.server.Close()
}
