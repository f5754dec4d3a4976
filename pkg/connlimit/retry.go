package connlimit

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/logtally"
)

const (
	// minPause and maxPause bound the pause after a failed accept; it doubles while accepts fail.
	minPause = 5 * time.Millisecond
	maxPause = time.Second
	// logInterval is the time between two log lines about the same.
	logInterval = 10 * time.Second
)

// temporary are the errors of accept that end by themselves.
var temporary = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR,
}

// retrying is a listener that goes on accepting after a temporary error.
type retrying struct {
	net.Listener
	log      zerolog.Logger
	failures *logtally.Tally

	once   sync.Once
	closed chan struct{}
}

// NewRetrying returns a listener that goes on accepting after temporary errors, such as a lack of descriptors.
func NewRetrying(ln net.Listener, log zerolog.Logger) net.Listener {
	return &retrying{Listener: ln, log: log, failures: logtally.New(logInterval), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *retrying) Accept() (net.Conn, error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		conn, err := l.Listener.Accept()
		if !isTemporary(err) {
			return conn, err
		}
		if n := l.failures.Add(); n > 0 {
			l.log.Warn().Str("event", "accept_failed").Stringer("address", l.Addr()).Int("count", n).Err(err).Send()
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// Close implements net.Listener.
func (l *retrying) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func isTemporary(err error) bool {
	var reason syscall.Errno
	return errors.As(err, &reason) && slices.Contains(temporary, reason)
}
