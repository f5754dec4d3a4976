package logtally_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/logtally"
)

// TestTally checks that each occurrence is reported once, together with those since the last line.
func TestTally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tally := logtally.New(time.Second)
		qt.Check(t, tally.Add(), qt.Equals, 1)
		qt.Check(t, tally.Add(), qt.Equals, 0)
		time.Sleep(time.Second - time.Millisecond)
		qt.Check(t, tally.Add(), qt.Equals, 0)
		time.Sleep(time.Millisecond)
		qt.Check(t, tally.Add(), qt.Equals, 3)
		qt.Check(t, tally.Add(), qt.Equals, 0)
	})
}
