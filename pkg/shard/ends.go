package shard

import (
	"cmp"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// endTracker tracks how far the ends reported by one boot are processed. Each end is applied,
// stored with its job, and then acknowledged to the worker, in the order of the numbers. The
// methods do no I/O and no locking.
type endTracker struct {
	applied      int64                 // ends up to here were applied
	stored       int64                 // ends up to here are stored
	acknowledged int64                 // ends up to here were acknowledged to the worker
	unstored     []reportedEnd         // applied but not stored, in order
	deferred     []platform.AttemptEnd // reported behind a gap in the numbers, to be applied with the next report
	ackDeferred  bool                  // an acknowledgement was withheld as unsafe
}

// reportedEnd is an end that a worker has reported.
type reportedEnd struct {
	number int64
	task   string
}

// markApplied records an applied end.
func (e *endTracker) markApplied(number int64, task string) {
	e.applied = number
	e.unstored = append(e.unstored, reportedEnd{number: number, task: task})
}

// markStored records that ends up to a number are stored.
func (e *endTracker) markStored(number int64) {
	e.stored = max(e.stored, number)
	e.unstored = slices.DeleteFunc(e.unstored, func(x reportedEnd) bool { return x.number <= e.stored })
}

// hasUnstored reports whether applied ends are not stored yet.
func (e *endTracker) hasUnstored() bool { return e.applied > e.stored }

// awaitsApplication reports whether the end of an attempt was reported and is not applied yet.
func (e *endTracker) awaitsApplication(task string, attempt int64) bool {
	return slices.ContainsFunc(e.deferred, func(x platform.AttemptEnd) bool { return x.Task == task && x.Attempt == attempt })
}

// takeDeferred removes and returns the ends reported behind a gap, in order.
func (e *endTracker) takeDeferred() (deferred []platform.AttemptEnd) {
	deferred, e.deferred = e.deferred, nil
	return deferred
}

// ackDue reports whether stored ends are not acknowledged yet.
func (e *endTracker) ackDue() bool { return e.stored > e.acknowledged }

// ackNumber returns the number up to which a poll sent now acknowledges ends, 0 for none. An
// acknowledgement carries only a number, so a later boot would drop ends of its own. It is
// withheld unless it is certain which boot receives it.
func (e *endTracker) ackNumber(bootCertain bool) int64 {
	if !e.ackDue() {
		return 0
	}
	e.ackDeferred = !bootCertain
	if e.ackDeferred {
		return 0
	}
	return e.stored
}

// markAcknowledged records that a poll acknowledged ends up to a number, 0 for none.
func (e *endTracker) markAcknowledged(number int64) {
	e.acknowledged = max(e.acknowledged, number)
	e.ackDeferred = e.ackDeferred && e.ackDue()
}

// applicable returns the reported ends that may be applied, in order, and the first missing
// number, 0 for none. Ends behind a gap wait for the next report: acknowledging them would
// drop the missing one, and its task would run again. To a new owner the first report always
// has a gap, since it doesn't know the next number.
func (e *endTracker) applicable(listed []platform.AttemptEnd) (ready []platform.AttemptEnd, missing int64) {
	all := append(slices.Clone(listed), e.deferred...)
	slices.SortStableFunc(all, func(a, b platform.AttemptEnd) int { return cmp.Compare(a.Seq, b.Seq) })
	all = slices.CompactFunc(all, func(a, b platform.AttemptEnd) bool { return a.Seq == b.Seq })
	missingBefore := int64(0) // the previous report had no other numbers up to here
	if n := len(e.deferred); n > 0 {
		missingBefore = e.deferred[n-1].Seq
	}
	e.deferred = nil
	next := e.applied + 1
	for i := range all {
		if all[i].Seq > next && next > missingBefore {
			e.deferred = slices.Clone(all[i:])
			return all[:i], next
		}
		next = max(next, all[i].Seq+1)
	}
	return all, 0
}
