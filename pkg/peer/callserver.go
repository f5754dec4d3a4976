package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// maxCalls bounds the concurrent calls of one link.
const maxCalls = 256

// CallHandler answers a call of a peer.
type CallHandler func(ctx context.Context, q *schema.Call) *schema.CallReply

// CallServer answers the calls of peers, concurrently on each link.
type CallServer struct {
	links   *links
	handler CallHandler
	log     zerolog.Logger
}

// NewCallServer returns a server that accepts links at ln.
func NewCallServer(ln net.Listener, h CallHandler, log zerolog.Logger) *CallServer {
	return &CallServer{links: newLinks(ln, 0, log), handler: h, log: log}
}

// Serve accepts links until ctx ends, then closes them all.
func (s *CallServer) Serve(ctx context.Context) error {
	return s.links.serve(ctx, func(conn net.Conn) { s.serveLink(ctx, conn) })
}

func (s *CallServer) serveLink(ctx context.Context, conn net.Conn) {
	var writeMu sync.Mutex
	slots := make(chan struct{}, maxCalls)
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
