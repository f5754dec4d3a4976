package peer

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/connlimit"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 2 * time.Minute
	writeTimeout     = 5 * time.Second
)

// Handler answers a request of a peer.
type Handler func(ctx context.Context, q *schema.PeerRequest) *schema.PeerReply

// Server accepts links of peers and answers their requests.
type Server struct {
	links    *links
	maxLinks int
	secret   string
	handler  Handler
	log      zerolog.Logger
	onBytes  func(sent, received int)
}

// ServerOption configures a [Server].
type ServerOption func(*Server)

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) ServerOption { return func(s *Server) { s.log = l } }

// WithServerBytes sets a callback for the bytes of each exchange.
func WithServerBytes(f func(sent, received int)) ServerOption {
	return func(s *Server) { s.onBytes = f }
}

// WithServerMaxLinks sets the number of links that are open at a time; at the limit, one without a
// request is closed.
func WithServerMaxLinks(n int) ServerOption { return func(s *Server) { s.maxLinks = n } }

// NewServer returns a server that accepts links at ln, which may be a TLS listener; secret
// authenticates peers.
func NewServer(ln net.Listener, secret string, h Handler, opts ...ServerOption) *Server {
	s := &Server{
		maxLinks: maxLinks, secret: secret, handler: h,
		log: zerolog.Nop(), onBytes: func(int, int) {},
	}
	for _, o := range opts {
		o(s)
	}
	s.links = newLinks(ln, s.maxLinks, s.log)
	return s
}

// Serve accepts links until ctx ends, then closes them all and waits for their goroutines.
func (s *Server) Serve(ctx context.Context) error {
	defer s.links.wait()
	return s.links.serve(ctx, func(conn *connlimit.Conn) { s.serveLink(ctx, conn) })
}

func (s *Server) serveLink(ctx context.Context, conn *connlimit.Conn) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := acceptHandshake(conn, s.secret); err != nil {
		s.log.Warn().Str("event", "peer_refused").Str("remote", conn.RemoteAddr().String()).Err(err).Send()
		return
	}
	for ctx.Err() == nil {
		conn.SetState(connlimit.StateIdle)
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var q schema.PeerRequest
		received, err := ReadFrame(conn, &q)
		if err != nil {
			s.log.Debug().Str("event", "peer_link_ended").Str("remote", conn.RemoteAddr().String()).Err(err).Send()
			return
		}
		conn.SetState(connlimit.StateBusy)
		reply := s.handler(ctx, &q)
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		sent, err := WriteFrame(conn, reply)
		s.onBytes(sent, received)
		if err != nil {
			return
		}
	}
}
