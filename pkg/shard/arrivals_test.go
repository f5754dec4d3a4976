package shard

import (
	"strconv"
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
		a.add("", arrival{at: at, cpu: 3000 * 2, memoryMB: 1024 * 2, excess: at%(200*time.Millisecond) == 0})
	}
	all, excess := a.demand(at - time.Millisecond)
	c.Check(all, qt.Equals, platform.Resources{CPU: 60000, MemoryMB: 20480})
	c.Check(excess, qt.Equals, platform.Resources{CPU: 30000, MemoryMB: 10240})
	all, excess = a.demand(at + arrivalWindow)
	c.Check(all, qt.Equals, platform.Resources{})
	c.Check(excess, qt.Equals, platform.Resources{})
	c.Check(a.recent, qt.HasLen, 0)
}

// TestRefusedDemand checks that a refused submission counts as demand once however often it is
// repeated, until it is accepted or its caller has given up, and that few are remembered.
func TestRefusedDemand(t *testing.T) {
	c := qt.New(t)
	var a arrivals
	job := func(at time.Duration) arrival { return arrival{at: at, cpu: 4000, memoryMB: 1024} }
	demand := func(at time.Duration) platform.Resources {
		all, _ := a.demand(at)
		return all
	}
	one := platform.Resources{CPU: 4000, MemoryMB: 1024}
	c.Check(a.addRefused("j1", job(0)), qt.IsTrue)
	for at := time.Duration(0); at < 10*time.Second; at += time.Second {
		c.Check(a.addRefused("j1", job(at)), qt.IsFalse)
		c.Check(demand(at), qt.Equals, one)
	}
	c.Check(demand(11*time.Second), qt.Equals, platform.Resources{})

	a.addRefused("j2", job(12*time.Second))
	a.add("j2", job(13*time.Second))
	c.Check(a.refused, qt.HasLen, 0)
	c.Check(demand(13*time.Second), qt.Equals, platform.Resources{CPU: 5000, MemoryMB: 1280}) // one job in arrivalWindow

	for i := range 2 * maxRefusedJobs {
		a.addRefused(strconv.Itoa(i), job(20*time.Second))
	}
	c.Check(a.refused, qt.HasLen, maxRefusedJobs)
	c.Check(a.addRefused("j3", job(22*time.Second)), qt.IsTrue) // the others are over
	c.Check(demand(22*time.Second), qt.Equals, one)
}
