package connlimit

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// failing is a listener without descriptors.
type failing struct{ net.Listener }

func (failing) Accept() (net.Conn, error) { return nil, os.NewSyscallError("accept4", syscall.EMFILE) }

func (failing) Close() error { return nil }

func (failing) Addr() net.Addr { return &net.TCPAddr{} }

// TestCloseDuringPause checks that an accept ends when the listener is closed while it waits.
func TestCloseDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := NewRetrying(failing{}, zerolog.Nop())
		ended := make(chan error, 1)
		go func() {
			_, err := ln.Accept()
			ended <- err
		}()
		time.Sleep(5 * time.Second)
		qt.Check(t, ln.Close(), qt.IsNil)
		synctest.Wait()
		select {
		case err := <-ended:
			qt.Check(t, err, qt.Equals, net.ErrClosed)
		default:
			t.Fatal("the accept goes on")
		}
	})
}

// paused fails to accept, but for every successEvery-th time; it records the time between accepts.
type paused struct {
	failing
	accepts int
	last    time.Time
	pauses  []time.Duration
}

const successEvery = 20

func (l *paused) Accept() (net.Conn, error) {
	now := time.Now()
	l.pauses = append(l.pauses, now.Sub(l.last))
	l.last = now
	if l.accepts++; l.accepts%successEvery == 0 {
		return nil, nil
	}
	return l.failing.Accept()
}

// TestPause checks that the pause after a failed accept grows up to its bound, and is short again after success.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &paused{last: time.Now()}
		ln := NewRetrying(inner, zerolog.Nop())
		for range 2 {
			inner.pauses = nil
			_, err := ln.Accept()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, inner.pauses, qt.HasLen, successEvery)
			qt.Check(t, inner.pauses[0], qt.Equals, time.Duration(0))
			qt.Check(t, inner.pauses[1], qt.Equals, minPause)
			for i := 2; i < successEvery; i++ {
				qt.Check(t, inner.pauses[i], qt.Equals, min(2*inner.pauses[i-1], maxPause))
			}
			qt.Check(t, inner.pauses[successEvery-1], qt.Equals, maxPause)
		}
		qt.Check(t, ln.Close(), qt.IsNil)
	})
}
