package peer

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/connlimit"
)

// links accepts connections and keeps track of the open ones.
type links struct {
	ln  net.Listener
	max int // number of open connections above which others are closed at once, 0 for no limit

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

func newLinks(ln net.Listener, limit int, log zerolog.Logger) *links {
	return &links{ln: connlimit.NewRetrying(ln, log), max: limit, conns: map[net.Conn]struct{}{}}
}

// serve calls handle for each connection, which is closed when handle returns. When ctx ends or the
// listener fails, it closes all connections and returns, without waiting for handle.
func (l *links) serve(ctx context.Context, handle func(conn net.Conn)) error {
	stop := context.AfterFunc(ctx, l.closeAll)
	defer stop()
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			l.closeAll()
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept link")
		}
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
func (l *links) track(ctx context.Context, conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil || l.max > 0 && len(l.conns) >= l.max {
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *links) untrack(conn net.Conn) {
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
