package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestArrivals checks the demand of jobs that use 3 cores for 2 s and arrive 10 times a second.
func TestArrivals(t *testing.T) {
	c := qt.New(t)
	var a arrivals
	at := time.Duration(0)
	for ; at < 2*time.Second; at += 100 * time.Millisecond {
		a.add(at, 3000*2, 1024*2)
	}
	d := a.demand(at - time.Millisecond)
	c.Check(d, qt.Equals, platform.Resources{CPU: 60000, MemoryMB: 20480})
	c.Check(a.demand(at+arrivalWindow), qt.Equals, platform.Resources{})
	c.Check(a.recent, qt.HasLen, 0)
}
