package shard

import (
	"context"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// submitWait is how long a submission or a cancellation waits for its row before
// its outcome is told as unknown.
const submitWait = 1500 * time.Millisecond

// Asker is who asks for a job.
type Asker struct {
	Account  string // client account, empty for none
	Operator bool   // who may see the jobs of all accounts
}

// maySee tells whether the asker may learn of a job.
func (a Asker) maySee(r *jobs.Record) bool { return a.Operator || r.BelongsTo(a.Account) }

// Submit keeps a job and starts it; it may be called again for the same ID. An ID
// under which another account has handed in a job is refused as any other submission
// may be, so that an account does not learn of the jobs of others.
func (o *Owner) Submit(ctx context.Context, id string, r jobs.Record) Outcome {
	o.mu.Lock()
	if o.closed || o.releasing {
		o.mu.Unlock()
		return schema.CallOutcomeNotOwner
	}
	if j := o.book.Job(id); j != nil {
		o.mu.Unlock()
		return o.submittedBefore(id, &j.Record, &r)
	}
	if o.unreadableJobs[id] {
		o.mu.Unlock()
		return schema.CallOutcomeUnknown
	}
	if s := o.pending[id]; s != nil {
		if !s.record.BelongsTo(r.Account) {
			o.mu.Unlock()
			return o.submittedBefore(id, &s.record, &r)
		}
		s.waiting++ // its first arrival is on its way to the table
		o.mu.Unlock()
		return o.awaitSubmission(ctx, s)
	}
	if o.commitsFailing {
		o.mu.Unlock()
		return schema.CallOutcomeRefused
	}
	r.Excess = o.beyondPromise(r.Account)
	raw, err := r.Encode()
	if err != nil {
		o.mu.Unlock()
		o.log.Error().Str("event", "job_encode_failed").Str("job", id).Err(err).Send()
		return schema.CallOutcomeRefused
	}
	s := &submission{id: id, record: r, raw: raw, waiting: 1, settled: make(chan struct{})}
	o.pending[id] = s
	o.queued = append(o.queued, s)
	o.hurry()
	o.mu.Unlock()
	return o.awaitSubmission(ctx, s)
}

// submittedBefore answers a submission whose ID is taken.
func (o *Owner) submittedBefore(id string, first, r *jobs.Record) Outcome {
	if first.BelongsTo(r.Account) {
		return schema.CallOutcomeOk
	}
	o.log.Warn().Str("event", "submission_of_other_account").Str("request", id).Str("account", r.Account).Str("first", first.Account).Send()
	return schema.CallOutcomeRefused
}

// awaitSubmission returns the outcome of a submission. One that has not been sent
// to the table service in time is withdrawn, unless others wait for it too.
func (o *Owner) awaitSubmission(ctx context.Context, s *submission) Outcome {
	if _, settled := receive(ctx, s.settled); settled {
		return s.outcome
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.waiting--
	select {
	case <-s.settled:
		return s.outcome
	default:
	}
	at := slices.Index(o.queued, s)
	if at < 0 || s.waiting > 0 {
		return schema.CallOutcomeUnknown
	}
	o.queued = slices.Delete(o.queued, at, at+1)
	delete(o.pending, s.id)
	s.settle(schema.CallOutcomeRefused)
	return schema.CallOutcomeRefused
}

// receive waits for what a channel gives, as long as a call waits for its row; it
// reports whether something came, also when the channel was closed.
func receive[T any](ctx context.Context, c <-chan T) (v T, came bool) {
	t := time.NewTimer(submitWait)
	defer t.Stop()
	select {
	case v = <-c:
		return v, true
	case <-ctx.Done():
	case <-t.C:
	}
	return v, false
}

// Cancel ends a job.
func (o *Owner) Cancel(ctx context.Context, id string, by Asker) Outcome {
	o.mu.Lock()
	j, out := o.find(id, by)
	if out != schema.CallOutcomeOk {
		o.mu.Unlock()
		return out
	}
	if j.Kept.Final() {
		o.mu.Unlock()
		return schema.CallOutcomeOk
	}
	if o.book.Cancel(j) {
		o.log.Info().Str("event", "job_cancelled").Str("job", id).Send()
		o.cfg.Metrics.Job("cancelled")
		o.jobEnded(j)
	}
	done := make(chan Outcome, 1)
	o.waiters[j] = append(o.waiters[j], done)
	o.keep(j, true)
	o.mu.Unlock()
	out, came := receive(ctx, done)
	if !came {
		return schema.CallOutcomeUnknown
	}
	return out
}

// State returns the state of a job that callers may be told.
func (o *Owner) State(id string, by Asker) (jobs.State, Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, out := o.find(id, by)
	if out != schema.CallOutcomeOk {
		return "", out
	}
	return j.Kept, out
}

// find returns a job that the asker may see; one of another account is not there. The lock is held.
func (o *Owner) find(id string, by Asker) (*jobs.Job, Outcome) {
	if o.closed {
		return nil, schema.CallOutcomeNotOwner
	}
	if j := o.book.Job(id); j != nil && by.maySee(&j.Record) {
		return j, schema.CallOutcomeOk
	}
	if s := o.pending[id]; s != nil && by.maySee(&s.record) {
		return nil, schema.CallOutcomeUnknown
	}
	if o.unreadableJobs[id] {
		return nil, schema.CallOutcomeUnknown
	}
	return nil, schema.CallOutcomeNotFound
}

// Waiting counts the jobs of a queue that have not begun.
func (o *Owner) Waiting(queue string) (int, Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return 0, schema.CallOutcomeNotOwner
	}
	return o.book.Waiting(queue), schema.CallOutcomeOk
}

// answerWaiters tells those who wait for a job's final state; the lock is held.
func (o *Owner) answerWaiters(j *jobs.Job) {
	if !j.Kept.Final() {
		return
	}
	for _, done := range o.waiters[j] {
		done <- schema.CallOutcomeOk
	}
	delete(o.waiters, j)
}

// keep marks a job's progress to be written, at once if someone waits for it; the lock is held.
func (o *Owner) keep(j *jobs.Job, soon bool) {
	o.dirty[j] = struct{}{}
	if soon {
		o.hurry()
		return
	}
	o.kickCommit()
}

// hurry has the next transaction written without waiting for more; the lock is held.
func (o *Owner) hurry() {
	o.urgent = true
	pause.Wake(o.urgentWake)
	o.kickCommit()
}

func (o *Owner) kickCommit() { pause.Wake(o.commitWake) }

func (o *Owner) kickPlacement() { pause.Wake(o.placeWake) }
