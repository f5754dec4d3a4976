package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// refusedRetryDelay is the pause before rows that the shard needs are written again.
const refusedRetryDelay = time.Second

// batchRefused handles a transaction whose content the table service will always refuse. Its items
// are written one by one, to find the one that is refused; a job whose progress is refused alone is
// left to failRefused.
func (o *Owner) batchRefused(b *batch, cause error) {
	o.log.Error().Str("event", "transaction_refused").Int("rows", len(b.txn.Put)+len(b.txn.Remove)).Int("bytes", b.size).
		Int("longest_row", b.longestRow()).Int("things", b.itemCount()).Err(cause).Send()
	if n := b.itemCount(); n > 1 {
		o.singleItemTxns += n
		o.queued = append(b.submissions, o.queued...)
		o.requeue(b)
		o.requestCommit()
		return
	}
	for _, s := range b.submissions {
		delete(o.pending, s.id)
		o.log.Error().Str("event", "submission_not_kept").Str("request", s.id).Str("account", s.record.Account).Int("bytes", len(s.raw)).Send()
		s.resolve(schema.CallOutcomeRefused)
	}
	for _, j := range b.jobs {
		o.refusedProgress[j] = cause
	}
	if b.record || b.shares != nil {
		// The rows are needed: no tasks start at workers that are not recorded.
		o.setCommitsFailingLocked(true, cause)
		o.requeue(b)
		time.AfterFunc(refusedRetryDelay, o.requestCommit)
	}
}

// failRefused fails the jobs whose progress was refused, now that the table service has accepted
// another transaction and so is not itself at fault. Jobs that are final are written again.
func (o *Owner) failRefused() {
	for _, j := range sortedByID(o.refusedProgress) {
		cause := o.refusedProgress[j]
		delete(o.refusedProgress, j)
		if j.State.Final() {
			o.persist(j, false)
			continue
		}
		o.failUnstorable(j, cause)
	}
}

// sortedByID returns the jobs by ID.
func sortedByID[V any](set map[*jobs.Job]V) []*jobs.Job {
	return slices.SortedFunc(maps.Keys(set), func(a, b *jobs.Job) int { return cmp.Compare(a.ID, b.ID) })
}
