package blame

import (
	"slices"
	"time"
)

const (
	// maxCountedRun is how long an attempt may have run when its worker is lost and still be
	// counted the loss: a task that brings its worker down does so within moments of its
	// start, and one that has run for days has seen many workers go.
	maxCountedRun = 10 * time.Second
	// earlyLossWindow is how long an attempt may have run for a loss to speak strongly against its task.
	// Workers were brought down within 10 ms; those that go for other causes go with attempts
	// of any age. With 60 crashing tasks among 600 jobs on 30 workers, where each loss made a
	// task watched, hundreds of tasks that had done nothing waited for a worker without another
	// watched one, with the pool at a fifth: 29 to 72 jobs were in time (TestStorm).
	earlyLossWindow = 200 * time.Millisecond
	// clearMargin is how much longer than before a lost worker an attempt has to run to be
	// cleared. Workers were lost within 10 ms of the start that brought them down.
	clearMargin = 200 * time.Millisecond
	// trialThreshold is the number of strong losses from which a task is started on trial only;
	// of others it takes one more. With 1 a task costs two workers in place of three, and
	// ordinary jobs in time fall from 448 to 496 of 600 to 91 to 339, since each of them waits
	// for a worker of its own (TestStorm).
	trialThreshold = 2
	// maxLosses is the number of workers that have certainly ended at which a task is given up
	// without a trial that proves it, and of losses of any kind at which it starts no more until that
	// is known. Callers are promised at most two starts more after three workers, one of which
	// may have been lost without any owner's knowing. Taken for proof whatever became of the
	// workers, four losses gave up a job that had done nothing while workers were only silent
	// (TestInnocentBesideSilence).
	maxLosses = 4
	// minDelivered is how many workers certainly had the task when they were lost for a trial to
	// prove it: callers are promised two. A start that timed out may never have arrived.
	minDelivered = 2
)

// Loss is a worker that was lost with an attempt of a task.
type Loss struct {
	Attempt int64         `msgpack:"n"`
	Boot    string        `msgpack:"b"`
	Ran     time.Duration `msgpack:"r,omitempty"` // how long the attempt had run, 0 if its start was not answered
	Trial   bool          `msgpack:"t,omitempty"` // nothing else was started there at that time
	Ended    bool          `msgpack:"s,omitempty"` // the boot has ended, it is not only silent
	Delivered    bool          `msgpack:"f,omitempty"` // the worker certainly had the attempt
	// Provisional is noted before the start is sent: the attempt counts for a next owner that does
	// not hear the boot any more, and for nothing while this one knows of it.
	Provisional bool `msgpack:"a,omitempty"`
}

// early tells whether the worker was lost right after the start.
func (l Loss) early() bool { return l.Trial || l.Ran < earlyLossWindow }

// Verdict is how a task may be started.
type Verdict string

// The verdicts.
const (
	Clear   Verdict = "clear"    // anywhere
	Watched Verdict = "watched"  // where no other watched task starts
	OnTrial Verdict = "on_trial" // where nothing else starts
	Held    Verdict = "held"     // nowhere until it is known what became of its workers
	Poison  Verdict = "guilty"   // nowhere any more
)

// severity orders the verdicts.
var severity = []Verdict{Clear, Watched, OnTrial, Held, Poison}

// Worse returns the one of two verdicts that allows less.
func Worse(a, b Verdict) Verdict {
	if slices.Index(severity, b) > slices.Index(severity, a) {
		return b
	}
	return a
}

// Losses are what speaks against a task.
type Losses []Loss

// Verdict tells how the task may be started.
func (ls Losses) Verdict() Verdict {
	n, sure, firm, strong, proven := 0, 0, 0, 0, false
	for _, l := range ls {
		if l.Provisional {
			continue
		}
		n++
		if l.Ended {
			sure++
		}
		if l.Delivered {
			firm++
		}
		if l.early() {
			strong++
		}
		proven = proven || l.Trial && l.Ended
	}
	switch {
	case proven && n > trialThreshold && firm >= minDelivered || sure >= maxLosses:
		return Poison
	case n >= maxLosses:
		return Held
	case strong >= trialThreshold || n > trialThreshold:
		return OnTrial
	case strong > 0 || n >= trialThreshold:
		return Watched
	default:
		return Clear
	}
}

// ClearAfter is how long an attempt has to run to clear its task.
func (ls Losses) ClearAfter() (d time.Duration) {
	for _, l := range ls {
		d = max(d, l.Ran)
	}
	return d + clearMargin
}

// With returns the losses with one more, the same if that attempt is counted already.
func (ls Losses) With(l Loss) Losses {
	at := slices.IndexFunc(ls, func(o Loss) bool { return o.Attempt == l.Attempt })
	switch {
	case at < 0:
		return append(slices.Clip(ls), l)
	case !ls[at].Provisional:
		return ls
	}
	with := slices.Clone(ls)
	with[at] = l
	return with
}

// CountProvisional returns the losses with all that was noted ahead counted: the owner that did so
// has gone, and the boots that are alive are yet to be heard.
func (ls Losses) CountProvisional() Losses {
	counted := slices.Clone(ls)
	for i := range counted {
		counted[i].Provisional = false
	}
	return counted
}

// WithoutProvisional returns the losses without what was noted ahead of an attempt, which has ended
// otherwise or has not started.
func (ls Losses) WithoutProvisional(attempt int64) Losses {
	return slices.DeleteFunc(slices.Clone(ls), func(l Loss) bool { return l.Provisional && l.Attempt == attempt })
}

// HasProvisional tells whether a loss was noted ahead of an attempt.
func (ls Losses) HasProvisional(attempt int64) bool {
	return slices.ContainsFunc(ls, func(l Loss) bool { return l.Provisional && l.Attempt == attempt })
}

// WithoutBoot returns the losses but those of a boot, which turned out to be alive.
func (ls Losses) WithoutBoot(boot string) Losses {
	return slices.DeleteFunc(slices.Clone(ls), func(l Loss) bool { return l.Boot == boot })
}

// ResetProvisional returns the losses but those of a boot, which is alive, with that of an attempt there noted
// ahead again, as at its start: were it only taken back, the start would be unknown to a next owner.
func (ls Losses) ResetProvisional(boot string, attempt int64) Losses {
	return append(ls.WithoutBoot(boot), Loss{Attempt: attempt, Boot: boot, Trial: ls.OnTrialAt(boot, attempt), Provisional: true})
}

// OnTrialAt tells whether an attempt was on trial at a boot.
func (ls Losses) OnTrialAt(boot string, attempt int64) bool {
	return slices.ContainsFunc(ls, func(l Loss) bool { return l.Boot == boot && l.Attempt == attempt && l.Trial })
}

// WithoutAttempt returns the losses but that of an attempt, which was not at the lost boot.
func (ls Losses) WithoutAttempt(attempt int64) Losses {
	return slices.DeleteFunc(slices.Clone(ls), func(l Loss) bool { return l.Attempt == attempt })
}

// MarkEnded returns the losses with those of a boot made sure: it has ended.
func (ls Losses) MarkEnded(boot string) Losses {
	sure := slices.Clone(ls)
	for i := range sure {
		sure[i].Ended = sure[i].Ended || sure[i].Boot == boot
	}
	return sure
}

// HasEarly tells whether a worker was lost right after a start of the task.
func (ls Losses) HasEarly() bool {
	return slices.ContainsFunc(ls, Loss.early)
}

// HasBoot tells whether a boot is among the lost workers.
func (ls Losses) HasBoot(boot string) bool {
	return slices.ContainsFunc(ls, func(l Loss) bool { return l.Boot == boot })
}

// Attempt is an attempt that was at a worker when it was lost.
type Attempt struct {
	Ran   time.Duration
	Trial bool // its worker was kept for it
}

// Counted tells of each attempt at a lost worker whether the loss counts against its task:
// what is on trial there alone, else each that had not run for long.
func Counted(attempts []Attempt) []bool {
	counted := make([]bool, len(attempts))
	trial := slices.ContainsFunc(attempts, func(a Attempt) bool { return a.Trial })
	for i, a := range attempts {
		counted[i] = a.Trial || !trial && a.Ran < maxCountedRun
	}
	return counted
}
