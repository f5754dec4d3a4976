package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestArrivals checks the demand of jobs that use 3 cores for 2 s and arrive 10 times a second, half of
// them over the guaranteed rate.
func TestArrivals(t *testing.T) {
	c := qt.New(t)
	var a arrivals
	at := time.Duration(0)
	for ; at < 2*time.Second; at += 100 * time.Millisecond {
		a.add(arrival{at: at, cpu: 3000 * 2, memoryMB: 1024 * 2, excess: at%(200*time.Millisecond) == 0})
	}
	all, excess := a.demand(at - time.Millisecond)
	c.Check(all, qt.Equals, platform.Resources{CPU: 60000, MemoryMB: 20480})
	c.Check(excess, qt.Equals, platform.Resources{CPU: 30000, MemoryMB: 10240})
	all, excess = a.demand(at + arrivalWindow)
	c.Check(all, qt.Equals, platform.Resources{})
	c.Check(excess, qt.Equals, platform.Resources{})
	c.Check(a.recent, qt.HasLen, 0)
}
