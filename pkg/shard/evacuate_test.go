package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Limited tasks at a worker that is about to end may wait for other stops until shortly before its end, and
// for a second if it does not say when that is.
func TestDrainDeadline(t *testing.T) {
	c := qt.New(t)
	var s session
	s.noteDraining(10*time.Second, 0) // by its row in the directory
	c.Check(s.draining, qt.IsTrue)
	c.Check(s.drainDeadline, qt.Equals, 11*time.Second)
	s.noteDraining(10500*time.Millisecond, 2500*time.Millisecond)
	c.Check(s.drainDeadline, qt.Equals, 12*time.Second)
	s.noteDraining(13*time.Second, 0)
	c.Check(s.drainDeadline, qt.Equals, 12*time.Second)
	var short session
	short.noteDraining(10*time.Second, 500*time.Millisecond)
	c.Check(short.drainDeadline, qt.Equals, 11*time.Second)
}
