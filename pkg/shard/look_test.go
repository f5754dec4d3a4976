package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// TestPlanLook tells when a worker is looked at next, by what is known of it.
func TestPlanLook(t *testing.T) {
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
		"nothing there":              {s: session{synced: true}, want: pollPlan{delay: -1}},
		"a task at work":             {s: busy(session{synced: true})},
		"not heard yet":              {s: session{}},
		"silent once":                {s: busy(session{synced: true, unansweredCalls: 1, retryNow: true})},
		"silent":                     {s: busy(session{synced: true, unansweredCalls: 2}), want: pollPlan{delay: pollRetryDelay, onWake: true}},
		"ends to be kept":            {s: busy(session{synced: true, ends: endTracker{applied: 2, stored: 1}}), want: pollPlan{delay: ackDelay}},
		"a doubt, orders on the way": {s: busy(session{synced: true, inDoubt: true, startsInFlight: 1}), want: pollPlan{delay: orderPollDelay, onWake: true}},
		"a doubt to settle":          {s: busy(session{synced: true, inDoubt: true})},
		"at the owner's limit":       {s: busy(session{synced: true, polledAt: now - 200*time.Millisecond}), atLimit: true, want: pollPlan{delay: minPollInterval - 200*time.Millisecond}},
		"at the limit, long ago":     {s: busy(session{synced: true, polledAt: now - time.Second}), atLimit: true},
		"at the limit, not heard":    {s: session{polledAt: now}, atLimit: true},
	} {
		t.Run(name, func(t *testing.T) { qt.Check(t, tc.s.planPoll(now, tc.atLimit), qt.Equals, tc.want) })
	}
}
