package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// TestGone checks which reports prove that an attempt is gone.
func TestGone(t *testing.T) {
	const confirmed, sent = time.Second, 2 * time.Second
	at := func(r workerAttempt) workerAttempt {
		r.Attempt = &jobs.Attempt{Boot: "w1"}
		return r
	}
	for name, c := range map[string]struct {
		attempt   workerAttempt
		named     bool
		moreEnds  bool
		want      bool
		wantAgain bool // after a second report of the kind
	}{
		"running":                         {attempt: workerAttempt{startConfirmedAt: confirmed}, named: true},
		"in neither list":                 {attempt: workerAttempt{startConfirmedAt: confirmed}, wantAgain: true},
		"lists are cut":                   {attempt: workerAttempt{startConfirmedAt: confirmed}, moreEnds: true},
		"one list is cut":                 {attempt: workerAttempt{startConfirmedAt: confirmed, missing: true}, moreEnds: true},
		"confirmed after the poll":        {attempt: workerAttempt{startConfirmedAt: 3 * time.Second}},
		"unanswered":                      {},
		"excluded":                        {attempt: workerAttempt{excludedBoot: "w1"}, want: true, wantAgain: true},
		"excluded, an earlier one listed": {attempt: workerAttempt{excludedBoot: "w1"}, named: true, want: true, wantAgain: true},
		"excluded, list is cut":           {attempt: workerAttempt{excludedBoot: "w1"}, moreEnds: true},
		"excluded at the boot before":     {attempt: workerAttempt{excludedBoot: "w0", countedLostBoot: "w0"}},
		"excluded at the next boot":       {attempt: workerAttempt{excludedBoot: "w1", countedLostBoot: "w0"}, wantAgain: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := at(c.attempt)
			qt.Check(t, r.gone(c.named, c.moreEnds, sent), qt.Equals, c.want)
			qt.Check(t, r.gone(c.named, c.moreEnds, sent), qt.Equals, c.wantAgain)
		})
	}
}

// TestGoneAfterCutList checks that a cut list between two others makes the count of reports begin anew.
func TestGoneAfterCutList(t *testing.T) {
	r := workerAttempt{Attempt: &jobs.Attempt{Boot: "w1"}, startConfirmedAt: time.Second}
	var got []bool
	for _, moreEnds := range []bool{false, true, false, false} {
		got = append(got, r.gone(false, moreEnds, 2*time.Second))
	}
	qt.Check(t, got, qt.DeepEquals, []bool{false, false, false, true})
}

// TestUnknownStartAtNextBoot guards against dropping an unanswered start by a single report when it may have reached
// the next boot: the worker gets no other start, and a second report decides.
func TestUnknownStartAtNextBoot(t *testing.T) {
	r := &workerAttempt{Attempt: &jobs.Attempt{Boot: "w2", Phase: jobs.PhaseInDoubt}, countedLostBoot: "w1"}
	s := &session{attempts: map[string]*workerAttempt{"t": r}, outcomeUnknown: true}
	new(Owner).resolveUnknownStarts(s, time.Second)
	qt.Check(t, s.attempts, qt.HasLen, 1)
	qt.Check(t, s.outcomeUnknown, qt.IsTrue)
	qt.Check(t, r.gone(false, false, 2*time.Second), qt.IsTrue)
}
