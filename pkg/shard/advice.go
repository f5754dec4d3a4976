package shard

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
)

const (
	// maxAdviceBoots bounds the workers in one request; the service takes time for each.
	maxAdviceBoots = 30
	// adviceTimeout bounds one request, including its wait behind others of this entry.
	adviceTimeout = 5 * time.Second
	// adviceRetryDelay is the pause after a failed request.
	adviceRetryDelay = 300 * time.Millisecond
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 100 * time.Millisecond
)

// advice holds the advice service's answers about a step: the boots that are permitted to run it,
// each with a ticket to send with the start.
type advice struct {
	requested bool
	retryAt   time.Duration     // no request before then
	tickets   map[string]ticket // by boot
	denied    map[string]bool   // boots that may never run the step
}

type ticket struct {
	text  string
	until time.Duration
}

// applyAdvice restricts a candidate to the workers that the advice service allows, and
// requests advice if those lack room for its tasks; the caller holds the lock.
func (o *Owner) applyAdvice(c *placement.Candidate, hosts []*placement.Host, now time.Duration) {
	q := o.serviceLevelOf(c.Step.Job)
	if q == nil || !q.UsesAdvice {
		return
	}
	a := o.advices[c.Step]
	if a == nil {
		a = &advice{tickets: map[string]ticket{}, denied: map[string]bool{}}
		o.advices[c.Step] = a
	}
	c.Allowed = func(boot string) bool {
		t, ok := a.tickets[boot]
		return ok && now < t.until-ticketMargin
	}
	room := 0
	var ask []*placement.Host
	for _, h := range hosts {
		switch {
		case a.denied[h.Boot] || !h.Admits(c.Step.Spec):
		case c.Allowed(h.Boot):
			room += h.Room(c.Step)
		default:
			ask = append(ask, h)
		}
	}
	if room >= len(c.Tasks) || len(ask) == 0 || a.requested || now < a.retryAt {
		return
	}
	slices.SortStableFunc(ask, func(x, y *placement.Host) int { return cmp.Compare(y.Free.CPU, x.Free.CPU) })
	boots := make([]string, 0, maxAdviceBoots)
	for _, h := range ask[:min(len(ask), maxAdviceBoots)] {
		boots = append(boots, h.Boot)
	}
	a.requested = true
	o.requestAdvice(c.Step, a, boots)
}

// requestAdvice requests advice in the background.
func (o *Owner) requestAdvice(s *jobs.StepRun, a *advice, boots []string) {
	name := fmt.Sprintf("%s.%d.%d", s.Job.ID, s.Occurrence, s.Index)
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
		permits, valid, err := o.cfg.Adviser.Advise(ctx, name, boots)
		cancel()
		o.mu.Lock()
		defer o.mu.Unlock()
		a.requested = false
		now := o.now()
		o.log.Info().Str("event", "advice").Str("step", name).Int("asked", len(boots)).Int("allowed", len(permits)).Dur("valid", valid).Err(err).Send()
		if err != nil {
			a.retryAt = now + adviceRetryDelay
			return
		}
		for _, b := range boots {
			a.denied[b] = true
		}
		for _, p := range permits {
			delete(a.denied, p.Boot)
			a.tickets[p.Boot] = ticket{text: p.Ticket, until: now + valid}
		}
		o.requestPlacement()
	})
}

// ticketOf returns the ticket to send with a start, empty if none is needed; the caller holds
// the lock.
func (o *Owner) ticketOf(s *jobs.StepRun, boot string) string {
	if a := o.advices[s]; a != nil {
		return a.tickets[boot].text
	}
	return ""
}

// dropTicket forgets a ticket that a worker has refused; the caller holds the lock.
func (o *Owner) dropTicket(s *jobs.StepRun, boot string) {
	if a := o.advices[s]; a != nil {
		delete(a.tickets, boot)
	}
}

// forgetAdvice drops the advice about the steps of an ended job; the caller holds the lock.
func (o *Owner) forgetAdvice(j *jobs.Job) {
	for _, s := range j.Steps {
		delete(o.advices, s)
	}
}
