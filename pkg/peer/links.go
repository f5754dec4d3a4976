package peer

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/connlimit"
)

// maxLinks is the default number of open links of a server.
const maxLinks = 1024

// links accepts connections and keeps track of the open ones.
type links struct {
	ln *connlimit.Listener

	mu    sync.Mutex
	conns map[*connlimit.Conn]struct{}
	wg    sync.WaitGroup
}

func newLinks(ln net.Listener, limit int, log zerolog.Logger) *links {
	return &links{ln: connlimit.New(ln, limit, log), conns: map[*connlimit.Conn]struct{}{}}
}

// serve calls handle for each connection, which is closed when handle returns. When ctx ends or the
// listener fails, it closes all connections and returns, without waiting for handle.
func (l *links) serve(ctx context.Context, handle func(conn *connlimit.Conn)) error {
	stop := context.AfterFunc(ctx, l.closeAll)
	defer stop()
	for {
		accepted, err := l.ln.Accept()
		if err != nil {
			l.closeAll()
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept link")
		}
		conn := accepted.(*connlimit.Conn)
		if !l.track(ctx, conn) {
			_ = conn.Close()
			continue
		}
		l.wg.Go(func() {
			defer l.untrack(conn)
			handle(conn)
		})
	}
}

// wait waits until handle has returned for all connections.
func (l *links) wait() { l.wg.Wait() }

// track adds a connection; it reports whether the connection may stay open.
func (l *links) track(ctx context.Context, conn *connlimit.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *links) untrack(conn *connlimit.Conn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	_ = conn.Close()
}

func (l *links) closeAll() {
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}
