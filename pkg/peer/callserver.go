package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// maxCalls bounds the concurrent calls of one link.
const maxCalls = 256

// CallHandler answers a call of a peer.
type CallHandler func(ctx context.Context, q *schema.Call) *schema.CallReply

// CallServer answers the calls of peers, concurrently on each link.
type CallServer struct {
	ln      net.Listener
	handler CallHandler
	log     zerolog.Logger

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewCallServer returns a server that accepts links at ln.
func NewCallServer(ln net.Listener, h CallHandler, log zerolog.Logger) *CallServer {
	return &CallServer{ln: ln, handler: h, log: log, conns: map[net.Conn]struct{}{}}
}

// Serve accepts links until ctx ends, then closes them all.
func (s *CallServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.closeAll)
	defer stop()
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept link")
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.serveLink(ctx, conn)
	}
}

func (s *CallServer) closeAll() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *CallServer) serveLink(ctx context.Context, conn net.Conn) {
	var writeMu sync.Mutex
	slots := make(chan struct{}, maxCalls)
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	for {
		q := &schema.Call{}
		if _, err := ReadFrame(conn, q); err != nil {
			s.log.Debug().Str("event", "peer_link_ended").Str("remote", conn.RemoteAddr().String()).Err(err).Send()
			return
		}
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
