package shard

import (
	"context"
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// relistDelay is how long after an outage of the table service the entry of a
// worker that lives may stay away from the directory; the operators say about two
// seconds.
const relistDelay = 2500 * time.Millisecond

// rackLabelPrefix is how labels that name a rack begin.
const rackLabelPrefix = "r"

// session is what the owner knows of one boot of a worker. The owner's lock guards it.
type session struct {
	ref    platform.WorkerRef
	worker string // ID, which a later boot may have as well
	vm     string
	info   platform.Worker // as last seen in the directory

	listed         bool          // it is in the directory
	recorded       bool          // the partition names it, so that a next owner will ask it
	synced         bool          // it has listed what runs there since our first token reached it
	answeredPollAt time.Duration // when the last look was sent that it has answered
	draining       bool
	ended          bool // the boot has ended
	former         former

	unlistedAt time.Duration // when it was first missing from the directory, 0 while it is listed

	attempts        map[string]*workerAttempt      // by task name; changed by hold and letGo only
	foreign         map[foreignKey]*foreignAttempt // run there and are not wanted
	hostCache       *placement.Host                // as placement saw the worker last, nil when that is out of date
	token           int64                          // fencing token of the orders
	orders          []*queuedOrder                 // that wait for their turn, in order
	senders         int                            // goroutines that send them
	startsInFlight  int                            // start orders without an answer yet
	inDoubt         bool                           // a start order got no answer; a look with a higher token settles it
	unansweredCalls int                            // looks and orders in a row without an answer
	silentSince     time.Duration                  // when the first of them was noticed, 0 while there is none
	retryNow        bool                           // the only one was a look: it is repeated without a pause
	health          workerHealth                   // to tell a bad worker
	lossCounted     bool                           // its loss was counted against what is there
	trial           *trial                         // what it is kept for, nil for nothing
	pausedUntil     time.Duration                  // no new tasks until then
	cordonedUntil   time.Duration                  // the VM is to be empty until then
	zoneOut         func(zone string) bool         // tells whether a zone is out of use

	notEmptyLoggedAt time.Duration // when the log last said why its VM is not empty

	clockMs            int64         // the worker's clock in the last answer
	clockAt            time.Duration // when that answer arrived
	leaseUntil         int64         // highest deadline that was sent, by the worker's clock
	earlierLeasesUntil time.Duration // when leases have run out that a former owner gave, or that were given by the clock of the boot before

	ends endTracker // that it has listed

	polledAt   time.Duration // when the last look was sent
	cancelPoll func()        // ends the look under way, nil if none waits for an end

	wake   chan struct{}      // a look is due, or the reasons for one have changed
	cancel context.CancelFunc // ends the session's loop
}

// workerAttempt is an attempt at a worker.
type workerAttempt struct {
	*jobs.Attempt
	sentAt        time.Duration // when the start was last sent, 0 before
	connLost      bool          // the worker's end cut its answer off
	confirmedAt   time.Duration // when the worker said that it has it, 0 before
	stopOrderedAt time.Duration // when its end was last ordered, 0 for never
	reportedAt    time.Duration // when the worker last reported it
	missing       bool          // the last list of its worker lacked it
	replaced      bool          // it was given up as too slow
	lostWithBoot  string        // the boot before, with which it counts as lost until this one is heard
	pacePercent   int           // percent of its speed that it was limited to, 0 for not limited
	pacedAt       time.Duration // when the pace was last ordered
}

// requestPoll lets the session's loop look again.
func (s *session) requestPoll() { pause.Wake(s.wake) }

// markInDoubt notes that an order may or may not have been carried out, so that the
// worker gets no tasks until a look has settled it; a look that waits for an end
// is not waited for, which would take up to a second.
func (s *session) markInDoubt() {
	s.inDoubt = true
	s.interruptPoll()
}

// interruptPoll ends a look that waits for an end, so that another one follows at once.
func (s *session) interruptPoll() {
	if s.cancelPoll != nil {
		s.cancelPoll()
		s.cancelPoll = nil
	}
}

// noteUnanswered notes that the worker did not answer.
func (s *session) noteUnanswered(now time.Duration) {
	if s.unansweredCalls == 0 {
		s.silentSince = now
	}
	s.unansweredCalls++
}

// usable tells whether new tasks may start at the worker.
func (s *session) usable(now time.Duration) bool {
	return s.listed && s.recorded && s.synced && !s.draining && !s.ended && !s.inDoubt && s.unansweredCalls == 0 && now >= s.pausedUntil && now >= s.cordonedUntil && !s.outOfUse()
}

// outOfUse tells whether the worker's zone is out of use, so that nothing starts there.
func (s *session) outOfUse() bool { return s.zoneOut(s.info.Zone) }

// acceptsTasks tells whether any task may start at the worker.
func (s *session) acceptsTasks(now time.Duration) bool { return s.usable(now) && s.trial == nil }

// leaving tells whether the worker is about to leave without having said so: its
// entry is gone from the directory. Entries also lapse while the table service is
// away; they are back a moment after it answers again.
func (s *session) leaving(now, storeSteady time.Duration) bool {
	if s.listed || s.unlistedAt == 0 {
		return false
	}
	missing := now - s.unlistedAt
	return missing > relistDelay || storeSteady-missing > relistDelay
}

// needsPoll tells whether the worker has to be asked at all.
func (s *session) needsPoll(now time.Duration) bool {
	return !s.ended && (!s.synced || s.awaited(now) || s.unansweredCalls > 0 || s.inDoubt || len(s.attempts) > 0 || len(s.foreign) > 0 || s.ends.hasUnstored() || s.ends.ackDeferred)
}

// idle tells whether nothing of ours is or may be at the worker.
func (s *session) idle() bool {
	return len(s.attempts) == 0 && len(s.foreign) == 0 && s.startsInFlight == 0 && !s.inDoubt && !s.ends.hasUnstored()
}

// recordEntry is how the partition names the worker while tasks may start there at any time.
func (s *session) recordEntry() leasedWorker {
	return leasedWorker{Boot: s.ref.Boot, VM: s.vm, Address: s.ref.Address}
}

// finalRecordEntry is how the owner of a term names the worker once no task starts there
// any more: with the tasks that may be there. One that it has not heard has what the
// owner before has named, or any.
func (s *session) finalRecordEntry(term int64) leasedWorker {
	w := s.recordEntry()
	if s.former.open && !s.former.complete {
		return w
	}
	w.LetGo = term
	if s.former.open {
		w.Tasks = s.former.tasks
		return w
	}
	for name := range s.attempts {
		w.Tasks = append(w.Tasks, name)
	}
	for key := range s.foreign {
		w.Tasks = append(w.Tasks, key.task)
	}
	for _, e := range s.ends.unstored {
		w.Tasks = append(w.Tasks, e.task)
	}
	return w
}

// markEndsStored notes that ends up to one are kept.
func (s *session) markEndsStored(number int64) {
	s.ends.markStored(number)
	s.requestPoll()
}

// addAttempt notes an attempt that is or may be at the worker.
func (s *session) addAttempt(task string, r *workerAttempt) {
	s.attempts[task] = r
	s.hostCache = nil
}

// removeAttempt forgets an attempt.
func (s *session) removeAttempt(task string) {
	delete(s.attempts, task)
	s.hostCache = nil
}

// host describes the worker to placement; what placement takes of it is kept
// until an attempt comes or goes.
func (s *session) host(now time.Duration) *placement.Host {
	if s.hostCache == nil {
		s.hostCache = s.newHost()
	}
	s.hostCache.Penalty = s.health.penalty(now)
	return s.hostCache
}

// newHost describes the worker as it is.
func (s *session) newHost() *placement.Host {
	h := &placement.Host{
		Boot: s.ref.Boot, Labels: s.info.Labels, Rack: rackOf(s.info.Labels),
		Capacity: s.info.Capacity, Free: s.info.Capacity.Sub(s.foreignCharge()),
	}
	for _, a := range s.attempts {
		h.Free = h.Free.Sub(placement.Charge(a.Task.Step.Spec))
		h.Count(a.Task.Step)
		if a.Task.Suspect() {
			h.Watching++
		}
	}
	return h
}

// futureHost describes the worker as it will be when what comes to an end there has ended.
func (s *session) futureHost() *placement.Host {
	h := s.newHost()
	for _, r := range s.attempts {
		if !r.Task.Step.Spec.LongRunning {
			h.Free = h.Free.Add(placement.Charge(r.Task.Step.Spec))
		}
	}
	return h
}

func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, rackLabelPrefix) && strings.ContainsRune(l, '-') {
			return l
		}
	}
	return ""
}
