package shard

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// relistDelay is how long after an outage of the table service a running worker's directory
// entry may be missing.
const relistDelay = 2500 * time.Millisecond

// rackLabelPrefix starts the labels that name a rack.
const rackLabelPrefix = "r"

// session is the owner's state of one boot of a worker, guarded by the owner's lock.
type session struct {
	ref    platform.WorkerRef
	worker string // ID, shared by all boots of the worker
	vm     string
	info   platform.Worker // latest directory entry

	infoReadAt time.Duration // when that entry was first read
	cold       coldPeriod    // the latest
	coldLogged bool

	listed        bool          // it is in the directory
	record        *workerRecord // of the owner
	attemptsKnown bool          // it has reported its attempts since our first token reached it
	listedAllAt   time.Duration // when the last poll was sent whose report lists all ends
	moreEnds      bool          // its last report may lack ends
	draining      bool
	drainDeadline time.Duration // until when its limited tasks may wait for other stops
	ended         bool          // the boot has ended
	former        formerTasks

	unlistedAt time.Duration // when it was first missing from the directory, 0 while listed

	attempts        map[string]*workerAttempt      // by task name; changed by addAttempt and removeAttempt only
	foreign         map[foreignKey]*foreignAttempt // running there and not wanted
	hostCache       *placement.Host                // placement's view, nil when stale
	token           int64                          // fencing token of the orders, raised when the outcome of one is unknown
	orders          []*queuedOrder                 // queued, in order
	senders         int                            // goroutines that send them
	heldStarts      []heldStart                    // starts that wait for a reading of its clock
	startsInFlight  int                            // start orders without an answer yet
	outcomeUnknown  bool                           // the worker may have accepted an unanswered start or acknowledgement; a poll with a higher token resolves it
	unansweredCalls int                            // polls and orders in a row without an answer
	silentSince     time.Duration                  // when the first of those was noticed, 0 if none
	retryNow        bool                           // the last poll was the first to fail: repeat it without a pause
	health          workerHealth                   // recent failures of attempts there
	lossCounted     bool                           // its loss was counted against the tasks there
	trial           *trial                         // trial that it is reserved for, nil for none
	pausedUntil     time.Duration                  // accepts no new tasks until then
	cordonedUntil   time.Duration                  // its VM is being emptied until then
	drain           drain                          // the last request to empty its VM
	inWave          bool                           // an open wave will empty its VM
	zoneEvacuated   func(zone string) bool         // reports whether a zone is out of use

	notEmptyLoggedAt time.Duration // when the log last said why its VM is not empty

	clockMs            int64         // the worker's clock in the last answer
	clockAt            time.Duration // when that answer arrived
	leaseUntil         int64         // latest lease deadline sent, by the worker's clock
	deadlineSentAt     time.Duration // when a deadline was last sent to the worker, also to an earlier boot, 0 for never
	earlierLeasesUntil time.Duration // when leases renewed by former owners have expired
	misread            misreadState  // whether deadlines by the clock of another boot may have reached it
	misreadUntil       time.Duration // when the leases that these renewed have expired

	ends endTracker // ends that it has reported

	polledAt   time.Duration // when the last poll was sent
	cancelPoll func()        // cancels a poll that waits for an end, nil if none does

	wake   chan struct{}      // requests a poll or a new decision on when to poll
	cancel context.CancelFunc // stops the poll loop
}

// workerAttempt is an attempt at a worker.
type workerAttempt struct {
	*jobs.Attempt
	sentAt           time.Duration // when the start was last sent, 0 for never
	timeout          time.Duration // how long that start could go unanswered
	connLost         bool          // the start got no answer because the connection failed
	startConfirmedAt time.Duration // when the worker confirmed that it has it, 0 if it did not yet
	stopOrderedAt    time.Duration // when its stop was last ordered, 0 for never
	stopLimited      bool          // that stop was allowed by its step's limit on missing tasks
	stopSent         bool          // that stop may have been carried out
	stopAccepted     bool          // that stop was answered
	stopsInFlight    int           // calls that order it
	reportedAt       time.Duration // when the worker last reported it
	excludedBoot     string        // boot that refuses its unanswered start from now on, since a higher token has reached it
	missing          bool          // the worker's last report lacked it
	replaced         bool          // a replacement was ordered because it is too slow
	countedLostBoot  string        // earlier boot whose loss was counted against the task, until this boot reports the attempt
	throttlePercent  int           // processor share ordered, in percent, 0 for all
	throttledAt      time.Duration // when it was last ordered
}

// requestPoll makes the poll loop plan its next poll anew.
func (s *session) requestPoll() { pause.Wake(s.wake) }

// markOutcomeUnknown records that the outcome of an order is unknown, and cancels a poll that waits for
// an end. The worker gets no tasks until another poll has resolved the outcome.
func (s *session) markOutcomeUnknown() {
	s.outcomeUnknown = true
	s.interruptPoll()
}

// interruptPoll cancels a poll that waits for an end, so that another follows at once.
func (s *session) interruptPoll() {
	if s.cancelPoll != nil {
		s.cancelPoll()
		s.cancelPoll = nil
	}
}

// noteUnanswered counts a call that the worker did not answer.
func (s *session) noteUnanswered(now time.Duration) {
	if s.unansweredCalls == 0 {
		s.silentSince = now
	}
	s.unansweredCalls++
}

// usable reports whether new tasks may start at the worker, trials included.
func (s *session) usable(now time.Duration) bool {
	known := s.listed && s.attemptsKnown && s.recorded()
	answers := !s.ended && !s.outcomeUnknown && s.unansweredCalls == 0
	return known && answers && !s.draining && !s.outOfUse() && now >= s.pausedUntil && now >= s.cordonedUntil
}

// recorded reports whether the stored record names the boot, so that the next owner contacts it.
func (s *session) recorded() bool { return s.record.names(s.worker, s.ref.Boot) }

// outOfUse reports whether the worker's zone is out of use, so that nothing starts there.
func (s *session) outOfUse() bool { return s.zoneEvacuated(s.info.Zone) }

// acceptsTasks reports whether any task may start at the worker.
func (s *session) acceptsTasks(now time.Duration) bool { return s.usable(now) && s.trial == nil }

// leaving reports whether the worker is about to leave without announcing it: its directory
// entry is gone, and not because of a recent outage of the table service.
func (s *session) leaving(now, storeUptime time.Duration) bool {
	if s.listed || s.unlistedAt == 0 {
		return false
	}
	missing := now - s.unlistedAt
	return missing > relistDelay || storeUptime-missing > relistDelay
}

// needsPoll reports whether there is a reason to poll the worker.
func (s *session) needsPoll(now time.Duration) bool {
	unclear := !s.attemptsKnown || s.awaited(now) || s.unansweredCalls > 0 || s.outcomeUnknown
	runs := len(s.attempts) > 0 || len(s.foreign) > 0
	ends := s.ends.hasUnstored() || s.awaitsEnds() || s.ends.ackDeferred
	return !s.ended && (unclear || runs || ends)
}

// idle reports whether nothing of this shard is or may be at the worker.
func (s *session) idle() bool {
	return len(s.attempts) == 0 && len(s.foreign) == 0 && s.startsInFlight == 0 && !s.outcomeUnknown && !s.ends.hasUnstored() && !s.awaitsEnds()
}

// awaitsEnds reports whether the worker may have ends that its last report lacked, as the numbers or the
// count of the listed ones show. A worker whose leases have lapsed is not waited for.
func (s *session) awaitsEnds() bool {
	return s.attemptsKnown && (s.moreEnds || len(s.ends.behindGap) > 0)
}

// recordEntry returns the stored entry for a worker where tasks may start at any time.
func (s *session) recordEntry(now time.Duration) leasedWorker {
	w := leasedWorker{Boot: s.ref.Boot, VM: s.vm, Address: s.ref.Address, Misread: storedMisreadNone}
	if s.mayHaveMisread(now) {
		w.Misread = storedMisreadLikely
	}
	return w
}

// finalRecordEntry returns the stored entry that an owner writes when it releases the shard,
// with the tasks that may be at the worker. For a worker that has not listed all to this owner they
// include those that the predecessor named; if that named none, neither does the entry.
func (s *session) finalRecordEntry(term int64, now time.Duration) leasedWorker {
	w := s.recordEntry(now)
	if s.former.pending && !s.former.listed {
		return w
	}
	w.ReleaseTerm = term
	w.Tasks = slices.Clone(s.former.names)
	for name := range s.attempts {
		w.Tasks = append(w.Tasks, name)
	}
	for key := range s.foreign {
		w.Tasks = append(w.Tasks, key.task)
	}
	w.Tasks = append(w.Tasks, s.ends.unacknowledgeable()...)
	slices.Sort(w.Tasks)
	w.Tasks = slices.Compact(w.Tasks)
	return w
}

// markEndsStored records that ends up to a number are stored.
func (s *session) markEndsStored(number int64) {
	s.ends.markStored(number)
	s.requestPoll()
}

// addAttempt adds an attempt that is or may be at the worker.
func (s *session) addAttempt(task string, r *workerAttempt) {
	s.attempts[task] = r
	s.hostCache = nil
}

// removeAttempt removes an attempt.
func (s *session) removeAttempt(task string) {
	delete(s.attempts, task)
	s.hostCache = nil
}

// host returns placement's view of the worker, cached until an attempt is added or removed.
func (s *session) host(now time.Duration) *placement.Host {
	if s.hostCache == nil {
		s.hostCache = s.newHost()
	}
	s.hostCache.Penalty = s.health.penalty(now)
	return s.hostCache
}

// newHost builds placement's view of the worker.
func (s *session) newHost() *placement.Host {
	h := &placement.Host{
		Boot: s.ref.Boot, Labels: s.info.Labels, Rack: rackOf(s.info.Labels),
		Capacity: s.info.Capacity, Free: s.info.Capacity.Sub(s.foreignCharge()), Leaving: s.inWave,
	}
	for _, a := range s.attempts {
		h.Free = h.Free.Sub(placement.Charge(a.Task.Step.Spec))
		h.CountTask(a.Task.Step)
		if a.Task.Suspect() {
			h.SuspectedTasks++
		}
	}
	return h
}

// futureHost builds placement's view of the worker after its finite tasks have ended. In a pool in demand
// finite tasks take at once what others leave.
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
