package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestPlanPoll checks when a worker is polled next in each state of its session.
func TestPlanPoll(t *testing.T) {
	const now = 10 * time.Second
	busy := func(s session) session {
		s.attempts = map[string]*workerAttempt{"t": {Attempt: &jobs.Attempt{}}}
		return s
	}
	for name, tc := range map[string]struct {
		s       session
		atLimit bool
		want    pollPlan
	}{
		"nothing to poll for":         {s: session{attemptsKnown: true}, want: pollPlan{delay: -1}},
		"a task runs":                 {s: busy(session{attemptsKnown: true})},
		"not synced":                  {s: session{}},
		"one unanswered poll":         {s: busy(session{attemptsKnown: true, unansweredCalls: 1, retryNow: true})},
		"two unanswered calls":        {s: busy(session{attemptsKnown: true, unansweredCalls: 2}), want: pollPlan{delay: pollRetryDelay, onWake: true}},
		"ends not stored":             {s: busy(session{attemptsKnown: true, ends: endTracker{complete: 2, stored: 1}}), want: pollPlan{delay: ackDelay}},
		"an end is missing":           {s: session{attemptsKnown: true, ends: endTracker{behindGap: []platform.AttemptEnd{{Seq: 2}}}}},
		"ends beyond the list":        {s: session{attemptsKnown: true, moreEnds: true}},
		"in doubt, starts in flight":  {s: busy(session{attemptsKnown: true, outcomeUnknown: true, startsInFlight: 1}), want: pollPlan{delay: orderPollDelay, onWake: true}},
		"in doubt":                    {s: busy(session{attemptsKnown: true, outcomeUnknown: true})},
		"at the owner's limit":        {s: busy(session{attemptsKnown: true, polledAt: now - 200*time.Millisecond}), atLimit: true, want: pollPlan{delay: minPollInterval - 200*time.Millisecond}},
		"at the limit, interval over": {s: busy(session{attemptsKnown: true, polledAt: now - time.Second}), atLimit: true},
		"at the limit, not synced":    {s: session{polledAt: now}, atLimit: true},
	} {
		t.Run(name, func(t *testing.T) { qt.Check(t, tc.s.planPoll(now, tc.atLimit), qt.Equals, tc.want) })
	}
}
