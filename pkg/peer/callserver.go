package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/connlimit"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// maxCalls bounds the concurrent calls of one link.
	maxCalls = 256
	// firstCallTimeout bounds the wait for the first call of a link.
	firstCallTimeout = 10 * time.Second
	// frameTimeout bounds the read of a frame that has begun.
	frameTimeout = 10 * time.Second
)

// CallHandler answers a call of a peer.
type CallHandler func(ctx context.Context, q *schema.Call) *schema.CallReply

// CallServer answers the calls of peers, concurrently on each link.
type CallServer struct {
	links    *links
	maxLinks int
	handler  CallHandler
	log      zerolog.Logger
}

// CallServerOption configures a [CallServer].
type CallServerOption func(*CallServer)

// WithMaxLinks sets the number of links that are open at a time; at the limit, one without calls is
// closed.
func WithMaxLinks(n int) CallServerOption { return func(s *CallServer) { s.maxLinks = n } }

// NewCallServer returns a server that accepts links at ln.
func NewCallServer(ln net.Listener, h CallHandler, log zerolog.Logger, opts ...CallServerOption) *CallServer {
	s := &CallServer{maxLinks: maxLinks, handler: h, log: log}
	for _, o := range opts {
		o(s)
	}
	s.links = newLinks(ln, s.maxLinks, log)
	return s
}

// Serve accepts links until ctx ends, then closes them all.
func (s *CallServer) Serve(ctx context.Context) error {
	return s.links.serve(ctx, func(conn *connlimit.Conn) { s.serveLink(ctx, conn) })
}

func (s *CallServer) serveLink(ctx context.Context, conn *connlimit.Conn) {
	var writeMu sync.Mutex
	slots := make(chan struct{}, maxCalls)
	for wait := firstCallTimeout; ; wait = idleTimeout {
		q := &schema.Call{}
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		if _, err := ReadFrame(&frameReader{conn: conn}, q); err != nil {
			s.log.Debug().Str("event", "peer_link_ended").Str("remote", conn.RemoteAddr().String()).Err(err).Send()
			return
		}
		conn.SetState(connlimit.StateIdle)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			reply := s.handler(ctx, q)
			reply.ID = q.ID
			writeMu.Lock()
			defer writeMu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(callWriteTimeout))
			if _, err := WriteFrame(conn, reply); err != nil {
				_ = conn.Close()
			}
		}()
	}
}

// frameReader reads a frame, which has to end within frameTimeout of its first byte.
type frameReader struct {
	conn  net.Conn
	begun bool
}

// Read implements io.Reader.
func (r *frameReader) Read(p []byte) (n int, err error) {
	n, err = r.conn.Read(p)
	if n > 0 && !r.begun {
		r.begun = true
		_ = r.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	}
	return n, err
}
