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
