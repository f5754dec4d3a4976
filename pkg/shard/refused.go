package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// refusedAgain is the pause before what the shard cannot do without is written again.
const refusedAgain = time.Second

// batchRefused deals with a transaction that the table service will never carry out, whose content
// it refuses: tried again as it was, it would hold up all else of the shard for ever. What it kept
// is written one thing at a time, and what is refused alone is set apart.
func (o *Owner) batchRefused(b *batch, cause error) {
	o.log.Error().Str("event", "transaction_refused").Int("rows", len(b.txn.Put)+len(b.txn.Remove)).Int("bytes", b.size).
		Int("longest_row", b.longestRow()).Int("things", b.things()).Err(cause).Send()
	if n := b.things(); n > 1 {
		o.singleItemTxns += n
		o.queued = append(b.submissions, o.queued...)
		o.putBack(b)
		o.kickCommit()
		return
	}
	for _, s := range b.submissions {
		delete(o.pending, s.id)
		o.log.Error().Str("event", "submission_not_kept").Str("request", s.id).Str("account", s.record.Account).Int("bytes", len(s.raw)).Send()
		s.settle(schema.CallOutcomeRefused)
	}
	for _, j := range b.jobs {
		o.refusedProgress[j] = cause
	}
	if b.record || b.shares != nil {
		// Nothing starts at the workers whose names are not kept.
		o.noteTrouble(true, cause)
		o.putBack(b)
		time.AfterFunc(refusedAgain, o.kickCommit)
	}
}

// failSetApart ends the jobs whose progress the table service has refused, now that it has taken
// something else: it is not the service that is at fault. Those that are final are written again.
func (o *Owner) failSetApart() {
	for _, j := range byID(o.refusedProgress) {
		cause := o.refusedProgress[j]
		delete(o.refusedProgress, j)
		if j.State.Final() {
			o.keep(j, false) // there is nothing less to be kept of it
			continue
		}
		o.failUnkept(j, cause)
	}
}

// byID returns jobs in the order of their IDs.
func byID[V any](set map[*jobs.Job]V) []*jobs.Job {
	return slices.SortedFunc(maps.Keys(set), func(a, b *jobs.Job) int { return cmp.Compare(a.ID, b.ID) })
}
