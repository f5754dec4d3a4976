package shard

import (
	"slices"

	"github.com/gannetwell/gannetwell/pkg/blame"
	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// noted is a start that waits until a loss that is noted ahead of it is kept.
type noted struct {
	session  *session
	running  *workerAttempt
	evidence int // number of the change that has to be kept
}

// noteAhead notes a start that may bring its worker down before it is sent, so that the loss
// counts even if this owner goes with it; it reports whether the start has to wait for that.
// In a row of owners each of which was gone before it had kept the loss, one task brought
// down six workers and more (TestCrashes with workers that fall silent). Tasks that nothing
// is known against start at once. So do those whose one worker was not lost right after their
// start, while the table service carries out no transactions: they would wait for its return.
func (o *Owner) noteAhead(s *session, r *workerAttempt) bool {
	t := r.Task
	maybeLost := o.unheardLoss && t.Step.Job.Restored
	strong := maybeLost || t.Verdict() == blame.OnTrial || t.Losses.Strong()
	if !maybeLost && !t.Suspect() || o.commitsFailing && !strong {
		return false
	}
	t.SetLosses(t.Losses.With(blame.Loss{Attempt: r.Number, Boot: s.ref.Boot, Trial: s.tries(r), Ahead: true}))
	o.suspects[t] = struct{}{}
	j := t.Step.Job
	o.noted[j] = append(o.noted[j], noted{session: s, running: r, evidence: j.Evidence()})
	o.keep(j, true)
	return true
}

// sendNoted sends the starts of a job whose notes are kept.
func (o *Owner) sendNoted(j *jobs.Job) {
	if len(o.noted[j]) == 0 {
		return
	}
	o.noted[j] = slices.DeleteFunc(o.noted[j], func(n noted) bool {
		if !j.EvidenceKept(n.evidence) {
			return false
		}
		name := n.running.Task.Name()
		if n.session.attempts[name] == n.running {
			o.enqueueStart(n.session, name, n.running)
		}
		return true
	})
	if len(o.noted[j]) == 0 {
		delete(o.noted, j)
	}
}

// forgetAhead takes back what was noted ahead of an attempt that did not start, or has ended
// and left its worker standing.
func (o *Owner) forgetAhead(a *jobs.Attempt) {
	t := a.Task
	if !t.Losses.IsAhead(a.Number) {
		return
	}
	t.SetLosses(t.Losses.NotAhead(a.Number))
	o.keep(t.Step.Job, false)
}

// lostUnheard notes that a worker of a former owner was lost before this owner has heard it.
// What is known to have been there is held against those tasks; if nothing is known, any task
// of that time may have brought it down, and is noted before it starts again.
func (o *Owner) lostUnheard(s *session) {
	if !s.former.complete {
		if !o.unheardLoss {
			o.unheardLoss = true
			o.record.note(s.worker) // the next record does not name it any more
			o.kickCommit()
		}
		return
	}
	for _, name := range s.former.tasks {
		t := o.book.Task(name)
		if t == nil || t.Done || t.Step.Job.State.Final() || s.leavesByPlan(o.now()) || t.Losses.At(s.ref.Boot) {
			continue // the owner that let go may have counted it
		}
		// Its attempt is not known: numbers of attempts are above 0.
		t.SetLosses(t.Losses.With(blame.Loss{Attempt: -o.claim.Term, Boot: s.ref.Boot, Sure: s.ended}))
		o.suspects[t] = struct{}{}
		o.keep(t.Step.Job, false)
	}
}
