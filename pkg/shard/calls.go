package shard

import (
	"context"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// callWaitTimeout is how long a submission or cancellation waits for its row to be written before
// its outcome is reported as unknown.
const callWaitTimeout = 1500 * time.Millisecond

// Requester is the caller on whose behalf a job is looked up.
type Requester struct {
	Account  string // client account, empty for none
	Operator bool   // may see the jobs of all accounts
}

// maySee reports whether the requester may see a job.
func (by Requester) maySee(r *jobs.Record) bool { return by.Operator || r.BelongsTo(by.Account) }

// Submit stores a job and starts it; it may be repeated with the same ID. An ID that another account
// has used is refused like any other submission, so as not to reveal that account's jobs.
func (o *Owner) Submit(ctx context.Context, id string, r jobs.Record) Outcome {
	if out, admitted := o.admit(ctx, id, &r); !admitted {
		return out
	}
	o.mu.Lock()
	if o.closed || o.releasing {
		o.mu.Unlock()
		return schema.CallOutcomeNotOwner
	}
	if j := o.registry.Job(id); j != nil {
		o.mu.Unlock()
		return o.answerDuplicate(id, &j.Record, &r)
	}
	if o.unreadableJobs[id] {
		o.mu.Unlock()
		return schema.CallOutcomeUnknown
	}
	if s := o.pending[id]; s != nil {
		if !s.record.BelongsTo(r.Account) {
			o.mu.Unlock()
			return o.answerDuplicate(id, &s.record, &r)
		}
		s.waiting++ // an earlier call has sent or queued it
		o.mu.Unlock()
		return o.awaitSubmission(ctx, s)
	}
	if r.Route != "" && !o.queues.accepts(r.Route) {
		o.mu.Unlock()
		return schema.CallOutcomeRefused // the queue has left since it was admitted
	}
	if o.commitsFailing {
		if !o.arrivals.remembersRefused(id) {
			r.Excess = o.exceedsGuarantee(r.Account)
		}
		o.noteRefused(id, &r)
		o.mu.Unlock()
		return schema.CallOutcomeRefused
	}
	if o.cfg.ReserveMemory != nil {
		release, ok := o.cfg.ReserveMemory(r.Spec.LaidOutBytes())
		if !ok {
			o.mu.Unlock()
			return schema.CallOutcomeRefused
		}
		defer release()
	}
	r.Excess = o.exceedsGuarantee(r.Account)
	raw, err := r.Encode()
	if err != nil {
		o.mu.Unlock()
		o.log.Error().Str("event", "job_encode_failed").Str("job", id).Err(err).Send()
		return schema.CallOutcomeRefused
	}
	s := &submission{id: id, record: r, raw: raw, waiting: 1, done: make(chan struct{})}
	o.pending[id] = s
	o.queued = append(o.queued, s)
	o.expediteCommit()
	o.mu.Unlock()
	return o.awaitSubmission(ctx, s)
}

// answerDuplicate answers a submission whose ID is taken.
func (o *Owner) answerDuplicate(id string, first, r *jobs.Record) Outcome {
	if first.BelongsTo(r.Account) {
		return schema.CallOutcomeOk
	}
	o.log.Warn().Str("event", "submission_of_other_account").Str("request", id).Str("account", r.Account).Str("first", first.Account).Send()
	return schema.CallOutcomeRefused
}

// awaitSubmission returns the outcome of a submission. After the timeout, one that was not yet sent
// to the table service is withdrawn unless other calls wait for it.
func (o *Owner) awaitSubmission(ctx context.Context, s *submission) Outcome {
	if _, ok := receive(ctx, s.done); ok {
		return s.outcome
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.waiting--
	select {
	case <-s.done:
		return s.outcome
	default:
	}
	at := slices.Index(o.queued, s)
	if at < 0 || s.waiting > 0 {
		return schema.CallOutcomeUnknown
	}
	o.queued = slices.Delete(o.queued, at, at+1)
	delete(o.pending, s.id)
	s.resolve(schema.CallOutcomeRefused)
	return schema.CallOutcomeRefused
}

// receive waits for a value from a channel, or for it to be closed, until callWaitTimeout; it
// reports whether one of these happened.
func receive[T any](ctx context.Context, c <-chan T) (v T, ok bool) {
	t := time.NewTimer(callWaitTimeout)
	defer t.Stop()
	select {
	case v = <-c:
		return v, true
	case <-ctx.Done():
	case <-t.C:
	}
	return v, false
}

// Cancel cancels a job and waits until this is stored.
func (o *Owner) Cancel(ctx context.Context, id string, by Requester) Outcome {
	o.mu.Lock()
	j, out := o.find(id, by)
	if out != schema.CallOutcomeOk {
		o.mu.Unlock()
		return out
	}
	if j.ReportedState.Final() {
		o.mu.Unlock()
		return schema.CallOutcomeOk
	}
	if o.registry.Cancel(j) {
		o.log.Info().Str("event", "job_cancelled").Str("job", id).Send()
		o.cfg.Metrics.Job("cancelled")
		o.jobEnded(j)
	}
	done := make(chan Outcome, 1)
	o.waiters[j] = append(o.waiters[j], done)
	o.persist(j, true)
	o.mu.Unlock()
	out, ok := receive(ctx, done)
	if !ok {
		return schema.CallOutcomeUnknown
	}
	return out
}

// State returns the stored state of a job.
func (o *Owner) State(id string, by Requester) (jobs.State, Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, out := o.find(id, by)
	if out != schema.CallOutcomeOk {
		return "", out
	}
	return j.ReportedState, out
}

// find returns a job that the requester may see; one of another account is reported as not found.
// The lock is held.
func (o *Owner) find(id string, by Requester) (*jobs.Job, Outcome) {
	if o.closed {
		return nil, schema.CallOutcomeNotOwner
	}
	if j := o.registry.Job(id); j != nil && by.maySee(&j.Record) {
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

// Waiting returns the number of jobs of a queue, known by its name and its route, that have not started.
func (o *Owner) Waiting(queue, route string) (int, Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return 0, schema.CallOutcomeNotOwner
	}
	return o.registry.CountQueued(queue, route), schema.CallOutcomeOk
}

// answerWaiters answers the calls that wait for the final state of a job; the lock is held.
func (o *Owner) answerWaiters(j *jobs.Job) {
	if !j.ReportedState.Final() {
		return
	}
	for _, done := range o.waiters[j] {
		done <- schema.CallOutcomeOk
	}
	delete(o.waiters, j)
}

// persist has a job's progress written with the next transaction, and without delay if urgent; the
// lock is held.
func (o *Owner) persist(j *jobs.Job, urgent bool) {
	o.dirty[j] = struct{}{}
	if urgent {
		o.expediteCommit()
		return
	}
	o.requestCommit()
}

// expediteCommit has the next transaction written without delay; the lock is held.
func (o *Owner) expediteCommit() {
	o.urgent = true
	pause.Wake(o.urgentWake)
	o.requestCommit()
}

func (o *Owner) requestCommit() { pause.Wake(o.commitWake) }

func (o *Owner) requestPlacement() { pause.Wake(o.placeWake) }
