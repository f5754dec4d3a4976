package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestColdUntil checks from when the time in a directory entry counts, which may be read late.
func TestColdUntil(t *testing.T) {
	const readAt = 60 * time.Second
	for name, tc := range map[string]struct {
		left    time.Duration
		rowMs   int64
		clockMs int64
		clockAt time.Duration
		want    time.Duration
	}{
		"the worker has not answered": {left: 4 * time.Second, rowMs: 1000, want: readAt + 4*time.Second},
		"a row without a clock":       {left: 4 * time.Second, rowMs: platform.ClockUnknown, clockMs: 9000, clockAt: 59 * time.Second, want: readAt + 4*time.Second},
		"read 3 s after":              {left: 4 * time.Second, rowMs: 7000, clockMs: 9000, clockAt: 59 * time.Second, want: readAt + time.Second},
		"read when it is warm":        {left: 4 * time.Second, rowMs: 1000, clockMs: 9000, clockAt: 59 * time.Second, want: 55 * time.Second},
		"a row from the future":       {left: 4 * time.Second, rowMs: 1 << 62, clockMs: 9000, clockAt: 59 * time.Second, want: readAt + 4*time.Second},
		"a warm worker":               {rowMs: 7000, clockMs: 9000, clockAt: 59 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := session{info: platform.Worker{ColdLeft: tc.left, ClockMs: tc.rowMs}, infoReadAt: readAt, clockMs: tc.clockMs, clockAt: tc.clockAt}
			s.updateCold()
			qt.Assert(t, s.cold.until, qt.Equals, tc.want)
		})
	}
}

// TestColdThenWarm checks that the period ends with an entry that calls the worker warm, and that
// later entries of the same period keep its start.
func TestColdThenWarm(t *testing.T) {
	c := qt.New(t)
	s := session{clockMs: 1000, clockAt: time.Second}
	read := func(left time.Duration, at time.Duration) {
		s.info, s.infoReadAt = platform.Worker{ColdLeft: left, ClockMs: at.Milliseconds()}, at
		s.updateCold()
	}
	read(4*time.Second, 10*time.Second)
	read(2500*time.Millisecond, 11500*time.Millisecond)
	c.Check(s.cold, qt.Equals, coldPeriod{from: 10 * time.Second, until: 14 * time.Second})
	read(0, 12*time.Second)
	c.Check(s.cold, qt.Equals, coldPeriod{from: 10 * time.Second, until: 12 * time.Second})
	read(4*time.Second, 30*time.Second)
	c.Check(s.cold, qt.Equals, coldPeriod{from: 30 * time.Second, until: 34 * time.Second})
}

// TestColdWork checks that the delay of work on a cold worker and the work done in a run time agree.
func TestColdWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(1, 60_000).Draw(t, name)) * time.Millisecond
		}
		work, coldLeft := draw("work"), draw("cold left")
		speed := float64(rapid.IntRange(5, 100).Draw(t, "speed")) / 100
		ran := work + coldDelay(work, coldLeft, speed)
		done := workDone(ran, min(ran, coldLeft), speed)
		if (done - work).Abs() > time.Microsecond {
			t.Fatalf("ran %v: %v done", ran, done)
		}
	})
}

// TestColdSpeed checks that the speed is learned from tasks and stays within its bounds.
func TestColdSpeed(t *testing.T) {
	c := qt.New(t)
	var cs coldSpeed
	for range minColdRuns {
		speed, known := cs.get()
		c.Check(speed, qt.Equals, 1.0)
		c.Check(known, qt.IsFalse)
		c.Check(cs.slow(), qt.IsTrue)
		cs.observe(4*time.Second, time.Second)
	}
	speed, known := cs.get()
	c.Check(known, qt.IsTrue)
	c.Check(cs.slow(), qt.IsTrue)
	c.Check(speed > 0.24 && speed < 0.26, qt.IsTrue, qt.Commentf("%v", speed))
	for range 200 {
		cs.observe(time.Second, 2*time.Second)
	}
	speed, _ = cs.get()
	c.Check(speed, qt.Equals, 1.0)
	c.Check(cs.slow(), qt.IsFalse)
	for range 200 {
		cs.observe(time.Second, 0)
	}
	speed, _ = cs.get()
	c.Check(speed, qt.Equals, minColdSpeed)
}
