package entry

import (
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/gannetwell/gannetwell/pkg/certs"
	"github.com/gannetwell/gannetwell/pkg/connlimit"
	"github.com/gannetwell/gannetwell/pkg/explain"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/service/server"
)

// ReadyPath is the readiness check for load balancers on the callers' port.
const ReadyPath = "/.gannetwell/ready"

const (
	operatorHeaderTimeout  = 5 * time.Second
	maxOperatorHeaderBytes = 32 << 10
)

// httpListener is a listener, with TLS if it is set up so, and the limit of its connections.
type httpListener struct {
	net.Listener
	limit *connlimit.Listener
}

// listen binds the three listeners.
func (e *Entry) listen() (err error) {
	limits, err := connlimit.ForProcess(connlimit.AnyMemory)
	if err != nil {
		return err
	}
	callers := min(e.settings.Gateway.MaxConnections, limits.Callers*2/3) // each may need a connection to a backend server
	if e.callers, err = e.listenHTTP(e.settings.Callers.Address, e.settings.Callers.TLS, callers); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if e.operators, err = e.listenHTTP(e.settings.Operators.Address, e.settings.Operators.TLS, limits.Operators); err != nil {
		e.closeListeners()
		return errors.Wrap(err, "listen for operators")
	}
	e.maxLinks = limits.Peers
	if err = e.listenPeers(); err != nil {
		e.closeListeners()
		return errors.Wrap(err, "listen for peers")
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, ln := range []*httpListener{e.callers, e.operators} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// listenHTTP binds an address; at the limit, connections that wait for a request make room for new ones.
func (e *Entry) listenHTTP(address string, files *schema.TLS, connections int) (ln *httpListener, err error) {
	var cfg *tls.Config
	if files != nil {
		r, err := certs.New(*files)
		if err != nil {
			return nil, err
		}
		cfg = r.Server()
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	limit := connlimit.New(inner, connections, e.log)
	if cfg == nil {
		return &httpListener{limit, limit}, nil
	}
	return &httpListener{tls.NewListener(limit, cfg), limit}, nil
}

func (e *Entry) listenPeers() (err error) {
	if files := e.settings.Peers.TLS; files != nil {
		if files.CAFile == "" {
			return errors.New("peers.tls.ca_file: expected the authorities that peers' certificates come from")
		}
		if e.peerTLS, err = certs.New(*files); err != nil {
			return err
		}
	}
	e.peerListener, err = net.Listen("tcp", e.settings.Peers.Address)
	if err == nil && e.peerTLS != nil {
		e.peerListener = tls.NewListener(e.peerListener, e.peerTLS.PeerServer())
	}
	return err
}

// CallerAddress returns the host:port on which callers' requests are accepted.
func (e *Entry) CallerAddress() string { return e.callers.Addr().String() }

// OperatorAddress returns the host:port of the operators' interface.
func (e *Entry) OperatorAddress() string { return e.operators.Addr().String() }

// PeerAddress returns the host:port at which peers reach this entry.
func (e *Entry) PeerAddress() string {
	if a := e.settings.Peers.Advertise; a != "" {
		return a
	}
	return e.peerListener.Addr().String()
}

// callerServer serves requests, and the readiness check under ReadyPath, which takes precedence
// over routes.
func (e *Entry) callerServer() *http.Server {
	g := e.settings.Gateway
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, ReadyPath) {
				e.serveReady(w)
				return
			}
			e.gateway.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: ms(g.HeaderTimeoutMs),
		IdleTimeout:       ms(g.IdleTimeoutMs),
		MaxHeaderBytes:    g.MaxHeaderBytes,
		ErrorLog:          debugLogger(e.log),
	}
}

func (e *Entry) serveReady(w http.ResponseWriter) {
	if !e.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// operatorServer serves the operators' interface.
func (e *Entry) operatorServer() *http.Server {
	h := server.New(e.replica, explainer{explain.New(e.replica, e.observer), e},
		server.WithOperatorAccounts(e.settings.Operators.Accounts),
		server.WithStatus(e.status),
		server.WithReady(e.gateway.Ready),
		server.WithMetrics(promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})),
		server.WithLogger(e.log))
	return &http.Server{
		Handler: h, ReadHeaderTimeout: operatorHeaderTimeout, MaxHeaderBytes: maxOperatorHeaderBytes,
		IdleTimeout: time.Minute, ErrorLog: debugLogger(e.log),
	}
}
