package shard

import (
	"cmp"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// endTracker tracks how far the ends reported by one boot are processed. Each end is applied when it
// is reported, stored with its job, and then acknowledged to the worker, in the order of the numbers.
// The methods do no I/O and no locking.
type endTracker struct {
	complete     int64                 // ends up to here were applied, as far as the numbers are used
	stored       int64                 // ends up to here are stored
	acknowledged int64                 // ends up to here were acknowledged to the worker
	unstored     []reportedEnd         // up to complete but not stored, in order
	behindGap    []platform.AttemptEnd // applied, but reported behind a gap in the numbers, in order
	ackDeferred  bool                  // an acknowledgement was withheld as unsafe
}

// reportedEnd is an end that a worker has reported.
type reportedEnd struct {
	number int64
	task   string
}

// markComplete records that an end was applied and that none before it is missing.
func (e *endTracker) markComplete(number int64, task string) {
	e.complete = number
	e.unstored = append(e.unstored, reportedEnd{number: number, task: task})
}

// markStored records that ends up to a number are stored.
func (e *endTracker) markStored(number int64) {
	e.stored = max(e.stored, number)
	e.unstored = slices.DeleteFunc(e.unstored, func(x reportedEnd) bool { return x.number <= e.stored })
}

// hasUnstored reports whether ends up to complete are not stored yet.
func (e *endTracker) hasUnstored() bool { return e.complete > e.stored }

// unacknowledgeable returns the tasks of ends that were applied and may not be acknowledged yet.
func (e *endTracker) unacknowledgeable() (tasks []string) {
	for _, x := range e.unstored {
		tasks = append(tasks, x.task)
	}
	for i := range e.behindGap {
		tasks = append(tasks, e.behindGap[i].Task)
	}
	return tasks
}

// unapplied returns the reported ends that were not applied before, in order.
func (e *endTracker) unapplied(listed []platform.AttemptEnd) []platform.AttemptEnd {
	applied := func(x platform.AttemptEnd) bool {
		return x.Seq <= e.complete || slices.ContainsFunc(e.behindGap, func(b platform.AttemptEnd) bool { return b.Seq == x.Seq })
	}
	return inOrder(slices.DeleteFunc(slices.Clone(listed), applied))
}

// inOrder sorts ends by their numbers and removes duplicates.
func inOrder(ends []platform.AttemptEnd) []platform.AttemptEnd {
	slices.SortStableFunc(ends, func(a, b platform.AttemptEnd) int { return cmp.Compare(a.Seq, b.Seq) })
	return slices.CompactFunc(ends, func(a, b platform.AttemptEnd) bool { return a.Seq == b.Seq })
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

// countable returns the reported ends that may be acknowledged once they are stored, in order, and
// the first missing number, 0 for none. Ends behind a gap wait for the next report: acknowledging them
// would drop the missing one, and its task would run again. To a new owner the first report always
// has a gap, since it doesn't know the next number.
func (e *endTracker) countable(listed []platform.AttemptEnd) (ready []platform.AttemptEnd, missing int64) {
	all := inOrder(append(slices.Clone(listed), e.behindGap...))
	missingBefore := int64(0) // the previous report had no other numbers up to here
	if n := len(e.behindGap); n > 0 {
		missingBefore = e.behindGap[n-1].Seq
	}
	e.behindGap = nil
	next := e.complete + 1
	for i := range all {
		if all[i].Seq > next && next > missingBefore {
			e.behindGap = slices.Clone(all[i:])
			return all[:i], next
		}
		next = max(next, all[i].Seq+1)
	}
	return all, 0
}
