package node

import (
	"cmp"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/connlimit"
	"github.com/gannetwell/gannetwell/pkg/httplimit"
)

const (
	// otherBodyTimeout bounds the read of a body by the listeners that need none.
	otherBodyTimeout = 2 * time.Second
	// requestMemoryPart is the part of the memory limit for requests under way, one in so many bytes.
	requestMemoryPart = 8
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
	server      *httplimit.Server
	ln          net.Listener
	interrupted chan struct{} // closed by interrupt
}

// listenHTTP returns a server that listens already, so that an address in use fails at startup.
func (n *Node) listenHTTP(address string, h http.Handler, options ...httplimit.Option) (*httpActor, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	options = append(options, httplimit.OnRefusal(n.refusals.add))
	return &httpActor{ln: ln, interrupted: make(chan struct{}), server: httplimit.NewServer(h, n.requestBytes, options...)}, nil
}

// callerOptions are the bounds of the callers' listener.
func (n *Node) callerOptions(limits connlimit.Limits) []httplimit.Option {
	return []httplimit.Option{
		httplimit.MaxHeadBytes(func() int { return cmp.Or(n.limits().MaxHeaderBytes, httplimit.DefaultMaxHeadBytes) }),
		httplimit.HeadTime(func() time.Duration { return cmp.Or(n.limits().HeaderTimeout, httplimit.DefaultHeadTime) }),
		httplimit.IdleTime(func() time.Duration { return cmp.Or(n.limits().IdleTimeout, httplimit.DefaultIdleTime) }),
		httplimit.MaxConns(limits.Callers),
		httplimit.BodyTime(time.Duration(n.settings.BodyTimeoutMs) * time.Millisecond),
	}
}

// otherOptions are the bounds of the other listeners.
func otherOptions(conns int) []httplimit.Option {
	return []httplimit.Option{httplimit.MaxConns(conns), httplimit.BodyTime(otherBodyTimeout)}
}

// connectionLimits returns the bounds on open connections. The settings may name that of callers, of which the
// descriptors allow a part.
func (n *Node) connectionLimits() (limits connlimit.Limits, err error) {
	limits, err = connlimit.ForProcess(n.settings.MemoryMb)
	if err != nil || n.settings.Connections == 0 {
		return limits, err
	}
	limits.Callers = min(n.settings.Connections, limits.MaxCallers)
	if limits.Callers < n.settings.Connections {
		n.log.Warn().Str("event", "connections_lowered").Str("address", n.settings.Callers).Int("setting", n.settings.Connections).
			Int("limit", limits.Callers).Str("why", "the limit of descriptors").Send()
	}
	return limits, nil
}

// limits returns the limits of the configuration in force, 0 for those that it does not have.
func (n *Node) limits() (l catalog.Limits) {
	if c := n.Catalog(); c != nil {
		l = c.Limits
	}
	l.MaxHeaderBytes, l.HeaderTimeout, l.IdleTimeout = max(0, l.MaxHeaderBytes), max(0, l.HeaderTimeout), max(0, l.IdleTimeout)
	return l
}

// newRequestBudget returns the budget of all requests under way.
func newRequestBudget(memoryMB, bytes int) *httplimit.Budget {
	return httplimit.NewBudget(cmp.Or(bytes, memoryMB<<20/requestMemoryPart))
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
