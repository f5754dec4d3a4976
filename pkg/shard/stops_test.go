package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// TestTakenBackStopIsNoRestart guards against a plan of waves that takes the time until a stop was taken back for that of a
// restart, and TestStopUnderWay against a stop that is taken back while a call that orders it has no answer yet.
func TestTakenBackStopIsNoRestart(t *testing.T) {
	c := qt.New(t)
	o, s, r := newStopped()
	o.restarts.noteStop(r.Task, 0)
	o.takeBackStop(s, r)
	c.Check(r.Phase, qt.Equals, jobs.PhaseRunning)
	o.restarts.update(time.Second, func(*jobs.Task) bool { return true })
	c.Check(o.restarts.average, qt.Equals, time.Duration(0))
}

func TestStopUnderWay(t *testing.T) {
	for name, underWay := range map[string]func(s *session, r *workerAttempt){
		"a call has no answer yet":        func(_ *session, r *workerAttempt) { r.stopsInFlight = 1 },
		"no poll with a higher token yet": func(s *session, _ *workerAttempt) { s.outcomeUnknown = true },
		"the worker does not answer":      func(s *session, _ *workerAttempt) { s.unansweredCalls = 1 },
	} {
		o, s, r := newStopped()
		r.stopSent = true
		underWay(s, r)
		o.takeBackStop(s, r)
		qt.Check(t, r.Phase, qt.Equals, jobs.PhaseStopped, qt.Commentf("%s", name))
	}
}

// A stop that was accepted is carried out, whatever else of its step is missing.
func TestAcceptedStopHolds(t *testing.T) {
	o, s, r := newStopped()
	r.stopLimited = true
	qt.Check(t, o.stopHolds(s, r, 0), qt.IsFalse)
	r.stopAccepted = true
	qt.Check(t, o.stopHolds(s, r, 0), qt.IsTrue)
}

// newStopped returns an attempt that was ordered to stop, at a worker.
func newStopped() (*Owner, *session, *workerAttempt) {
	job := &jobs.Job{ID: "j"}
	step := &jobs.StepRun{Job: job}
	o := &Owner{cfg: Config{Clock: elapsed.New(), StoreUptime: func() time.Duration { return 0 }}, log: zerolog.Nop()}
	return o, &session{}, &workerAttempt{Attempt: &jobs.Attempt{Task: &jobs.Task{Step: step}, Phase: jobs.PhaseStopped}}
}
