package peer_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// acceptError is what Accept returns for a reason of the system.
func acceptError(reason syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", reason)}
}

// TestAcceptFails guards against the end of an entry whose descriptors are all in use for a while.
func TestAcceptFails(t *testing.T) {
	for _, reason := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		t.Run(reason.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ln := newPipeListener()
				ln.failures, ln.err = 600, acceptError(reason)
				s := startCalls(t, ln, answerOk)
				time.Sleep(15 * time.Minute)
				synctest.Wait()
				if len(s.served) > 0 {
					t.Fatalf("ended: %v", <-s.served)
				}
				s.checkServed()
				s.stop()
				lines := s.log.n.Load()
				qt.Check(t, lines > 0 && lines <= 100, qt.IsTrue, qt.Commentf("%d lines", lines))
			})
		})
	}
}

// TestListenerEnds checks that a listener that can't accept any more ends the server.
func TestListenerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := newPipeListener()
		ln.failures, ln.err = 1, acceptError(syscall.EBADF)
		s := startCalls(t, ln, answerOk)
		qt.Check(t, <-s.served, qt.ErrorMatches, ".*bad file descriptor")
		s.ended()
	})
}
