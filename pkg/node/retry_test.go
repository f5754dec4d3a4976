package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// callersTries is how often a caller comes in all.
const callersTries = 5

// TestRetryAfterOutage has callers come at each tenth of a second of an outage of the
// table service. In one of up to 6 s none is lost; of those who come back each second
// all that come early are.
func TestRetryAfterOutage(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		outage       time.Duration
		lost, before int
	}{
		{time.Second, 0, 0},
		{4 * time.Second, 0, 0},
		{5300 * time.Millisecond, 0, 13},
		{6 * time.Second, 0, 20},
		{9 * time.Second, 20, 50},
		{14 * time.Second, 40, 100},
	} {
		lost, before := 0, 0
		for at := time.Duration(0); at < test.outage; at += 100 * time.Millisecond {
			if !served(at, test.outage, retryAfterOutage) {
				lost++
			}
			if !served(at, test.outage, func(time.Duration) time.Duration { return retryAfter }) {
				before++
			}
		}
		c.Check(lost, qt.Equals, test.lost, qt.Commentf("outage of %v", test.outage))
		c.Check(before, qt.Equals, test.before, qt.Commentf("outage of %v", test.outage))
	}
}

// served tells whether a caller who first comes at a time of an outage is served in the end.
func served(at, outage time.Duration, after func(lasted time.Duration) time.Duration) bool {
	for range callersTries {
		if at >= outage {
			return true
		}
		at += after(at)
	}
	return false
}
