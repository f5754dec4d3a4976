package soak

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestStepsInText checks that workers read from a job's text what was drawn.
func TestStepsInText(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		steps := drawSteps(rnd)
		qt.Assert(t, slices.Equal(parseSteps(text(steps)), steps), qt.IsTrue, qt.Commentf("%v", steps))
	}
	qt.Assert(t, parseSteps("1,2"), qt.IsNil)
}

// TestEventsRepeat checks that a seed draws the same disturbances each time, in order and within the time.
func TestEventsRepeat(t *testing.T) {
	o := Options{Length: 30e9}
	for seed := range uint64(20) {
		draw := func() []event { return drawEvents(rand.New(rand.NewPCG(seed, 0)), o) }
		events := draw()
		qt.Assert(t, slices.Equal(draw(), events), qt.IsTrue)
		kinds := map[Disturbance]bool{}
		for i, e := range events {
			kinds[e.kind] = true
			qt.Assert(t, e.at >= warmUp, qt.IsTrue)
			qt.Assert(t, i == 0 || e.at >= events[i-1].at, qt.IsTrue)
		}
		qt.Assert(t, kinds[IncompleteLists] && kinds[WorkerLink], qt.IsFalse, qt.Commentf("seed %d", seed))
	}
}
