package quarantine

import (
	"slices"
	"time"
)

const (
	// maxCountedRun is how long an attempt may have run for the loss of its worker to count
	// against its task. A crashing task takes its worker down soon after it starts.
	maxCountedRun = 10 * time.Second
	// earlyLossWindow is the run time below which a loss is early, and so weighs more: crashing tasks take
	// their worker down within 10 ms, while workers that are lost for other causes have attempts of any age.
	earlyLossWindow = 200 * time.Millisecond
	// clearMargin is added to the longest run of a lost attempt to get the run time that clears a task.
	clearMargin = 200 * time.Millisecond
	// trialThreshold is the number of early losses after which a task starts only in a trial;
	// if the losses are not early, it takes one more. From the first loss on, each task that was at a worker
	// lost for another cause would wait for a worker of its own.
	trialThreshold = 2
	// maxLosses is the number of workers known to have ended after which a task is poison even
	// without a trial. With as many losses of any kind it is blocked.
	maxLosses = 4
	// minDelivered is the number of lost workers that certainly had the task before a loss in
	// a trial makes the task poison. A start that timed out may never have arrived.
	minDelivered = 2
)

// Loss is the loss of a worker that had an attempt of a task.
type Loss struct {
	Attempt   int64         `msgpack:"n"`           // number of the attempt
	Boot      string        `msgpack:"b"`           // boot of the worker
	Ran       time.Duration `msgpack:"r,omitempty"` // how long the attempt had run, 0 if its start was not answered
	Trial     bool          `msgpack:"t,omitempty"` // the attempt was in a trial
	Ended     bool          `msgpack:"s,omitempty"` // the boot is known to have ended; otherwise it only stopped answering
	Delivered bool          `msgpack:"f,omitempty"` // the worker certainly had the attempt
	// Provisional marks a record written before the start is sent, while the worker is not lost. A
	// new owner, which cannot know what became of the attempt, counts it as a loss.
	Provisional bool `msgpack:"a,omitempty"`
}

// early reports whether the worker was lost right after the start, or during a trial.
func (l Loss) early() bool { return l.Trial || l.Ran < earlyLossWindow }

// Restriction tells where a task may start.
type Restriction string

// The restrictions, from the least to the strictest. Logs show the string values, so these stay
// when a constant is renamed.
const (
	Unrestricted Restriction = "clear"    // on any worker
	Separate     Restriction = "watched"  // on a worker without another suspected task
	TrialOnly    Restriction = "on_trial" // on a worker reserved for it
	Blocked      Restriction = "held"     // nowhere until it is known whether the lost workers have ended
	Poison       Restriction = "guilty"   // nowhere; its job fails
)

// byStrictness lists the restrictions from the least to the strictest.
var byStrictness = []Restriction{Unrestricted, Separate, TrialOnly, Blocked, Poison}

// Stricter returns the stricter of two restrictions.
func Stricter(a, b Restriction) Restriction {
	if slices.Index(byStrictness, b) > slices.Index(byStrictness, a) {
		return b
	}
	return a
}

// Losses are the losses counted against a task.
type Losses []Loss

// Restriction returns where the task may start.
func (ls Losses) Restriction() Restriction {
	n, ended, delivered, early, endedInTrial := 0, 0, 0, 0, false
	for _, l := range ls {
		if l.Provisional {
			continue
		}
		n++
		if l.Ended {
			ended++
		}
		if l.Delivered {
			delivered++
		}
		if l.early() {
			early++
		}
		endedInTrial = endedInTrial || l.Trial && l.Ended
	}
	switch {
	case endedInTrial && n > trialThreshold && delivered >= minDelivered || ended >= maxLosses:
		return Poison
	case n >= maxLosses:
		return Blocked
	case early >= trialThreshold || n > trialThreshold:
		return TrialOnly
	case early > 0 || n >= trialThreshold:
		return Separate
	default:
		return Unrestricted
	}
}

// ClearAfter returns how long an attempt has to run for the task to be cleared.
func (ls Losses) ClearAfter() (d time.Duration) {
	for _, l := range ls {
		d = max(d, l.Ran)
	}
	return d + clearMargin
}

// With returns the losses with l added. A loss of the same attempt is kept as it is unless it is
// provisional, which l replaces.
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

// ConfirmProvisional returns the losses with the provisional ones made to count. A new owner calls
// it when it takes over; it removes the losses of boots that turn out to be alive by WithoutBoot.
func (ls Losses) ConfirmProvisional() Losses {
	counted := slices.Clone(ls)
	for i := range counted {
		counted[i].Provisional = false
	}
	return counted
}

// WithoutProvisional returns the losses without the provisional one of an attempt, which did not
// start or ended without taking its worker down.
func (ls Losses) WithoutProvisional(attempt int64) Losses {
	return slices.DeleteFunc(slices.Clone(ls), func(l Loss) bool { return l.Provisional && l.Attempt == attempt })
}

// HasProvisional reports whether there is a provisional loss of an attempt.
func (ls Losses) HasProvisional(attempt int64) bool {
	return slices.ContainsFunc(ls, func(l Loss) bool { return l.Provisional && l.Attempt == attempt })
}

// WithoutBoot returns the losses without those of a boot, which turned out to be alive.
func (ls Losses) WithoutBoot(boot string) Losses {
	return slices.DeleteFunc(slices.Clone(ls), func(l Loss) bool { return l.Boot == boot })
}

// ResetProvisional returns the losses with those of a boot, which is alive, replaced by a
// provisional one of the attempt that still runs there. Otherwise the next owner would not know of
// that attempt.
func (ls Losses) ResetProvisional(boot string, attempt int64) Losses {
	return append(ls.WithoutBoot(boot), Loss{Attempt: attempt, Boot: boot, Trial: ls.InTrialAt(boot, attempt), Provisional: true})
}

// InTrialAt reports whether an attempt was in a trial at a boot.
func (ls Losses) InTrialAt(boot string, attempt int64) bool {
	return slices.ContainsFunc(ls, func(l Loss) bool { return l.Boot == boot && l.Attempt == attempt && l.Trial })
}

// WithoutAttempt returns the losses without that of an attempt, which was not at the lost boot.
func (ls Losses) WithoutAttempt(attempt int64) Losses {
	return slices.DeleteFunc(slices.Clone(ls), func(l Loss) bool { return l.Attempt == attempt })
}

// MarkEnded returns the losses with those of a boot marked as ended.
func (ls Losses) MarkEnded(boot string) Losses {
	marked := slices.Clone(ls)
	for i := range marked {
		marked[i].Ended = marked[i].Ended || marked[i].Boot == boot
	}
	return marked
}

// HasEarly reports whether a worker was lost right after a start of the task, or during a trial.
func (ls Losses) HasEarly() bool {
	return slices.ContainsFunc(ls, Loss.early)
}

// HasBoot reports whether a boot is among the lost workers.
func (ls Losses) HasBoot(boot string) bool {
	return slices.ContainsFunc(ls, func(l Loss) bool { return l.Boot == boot })
}

// Attempt is an attempt that was at a worker when the worker was lost.
type Attempt struct {
	Ran   time.Duration
	Trial bool // it was in a trial
}

// Counted reports for each attempt at a lost worker whether the loss counts against its task:
// the attempts in a trial if there are any, else those that had not run for long.
func Counted(attempts []Attempt) []bool {
	counted := make([]bool, len(attempts))
	trial := slices.ContainsFunc(attempts, func(a Attempt) bool { return a.Trial })
	for i, a := range attempts {
		counted[i] = a.Trial || !trial && a.Ran < maxCountedRun
	}
	return counted
}
