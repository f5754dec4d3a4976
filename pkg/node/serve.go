package node

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// headerTimeout bounds the read of a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
)

// closeConnUnlessReady makes callers reconnect, to another node, when this one is not ready; an
// open connection would keep using it.
func (n *Node) closeConnUnlessReady(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ready, _ := n.Ready(); !ready {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// httpActor is an HTTP server with its listener, run as an actor of a run.Group.
type httpActor struct {
	server      *http.Server
	ln          net.Listener
	interrupted chan struct{} // closed by interrupt
}

// listenHTTP returns a server that listens already, so that an address in use fails at startup.
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

// serve returns when the server fails or is interrupted. It does not return on a graceful shutdown,
// which would end all other actors while open requests are still answered.
func (a *httpActor) serve() error {
	if err := a.server.Serve(a.ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", a.ln.Addr())
	}
	<-a.interrupted
	return nil
}

// interrupt closes all connections; run.Group calls it once.
func (a *httpActor) interrupt(error) {
	close(a.interrupted)
	_ = a.server.Close()
}
