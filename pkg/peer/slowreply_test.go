package peer

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// TestSlowReply guards against a peer whose reply arrives one byte at a time, and checks that a link on which
// nothing arrives for long is kept.
func TestSlowReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine, theirs := net.Pipe()
		l := newCallLink(mine)
		time.Sleep(time.Hour)
		_, err := WriteFrame(theirs, &schema.CallReply{})
		qt.Check(t, err, qt.IsNil)
		time.Sleep(time.Hour)
		qt.Check(t, l.broken(), qt.IsFalse)
		_, err = theirs.Write([]byte{0, 0, 1, 0})
		for range 60 {
			time.Sleep(time.Second)
			if err == nil {
				_, err = theirs.Write([]byte{1})
			}
		}
		qt.Check(t, err, qt.Equals, io.ErrClosedPipe)
		qt.Check(t, l.broken(), qt.IsTrue)
		l.fail(io.ErrClosedPipe)
		_ = theirs.Close()
	})
}
