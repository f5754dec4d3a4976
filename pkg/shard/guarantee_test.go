package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGuaranteedRate takes tokens at several rates from a guaranteed rate of five per second.
func TestGuaranteedRate(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		perSecond, within int // of 100 jobs
	}{
		{2, 100},
		{5, 100},
		{10, 55},
		{25, 25},
		{1000, 5},
	} {
		p := guaranteedRate{tokens: 5}
		within := 0
		for i := range 100 {
			if p.take(5, time.Duration(i)*time.Second/time.Duration(test.perSecond)) {
				within++
			}
		}
		c.Check(within >= test.within-2 && within <= test.within+2, qt.IsTrue, qt.Commentf("%d per second: %d within the guaranteed rate", test.perSecond, within))
	}
}
