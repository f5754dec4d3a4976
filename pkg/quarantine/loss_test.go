package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRestriction checks the restriction for each kind of loss history.
func TestRestriction(t *testing.T) {
	shared, trial := Loss{Delivered: true}, Loss{Trial: true, Ended: true}
	late, ended := Loss{Delivered: true, Ran: time.Second}, Loss{Delivered: true, Ended: true}
	silentTrial, provisional, undelivered := Loss{Trial: true}, Loss{Provisional: true}, Loss{}
	for _, tc := range []struct {
		name   string
		losses Losses
		want   Restriction
	}{
		{"none", nil, Unrestricted},
		{"one", Losses{shared}, Separate},
		{"two", Losses{shared, shared}, TrialOnly},
		{"the third on trial", Losses{shared, shared, trial}, Poison},
		{"a trial's worker only silent", Losses{shared, shared, silentTrial}, TrialOnly},
		{"a trial alone", Losses{trial}, Separate},
		{"four, some workers only silent", Losses{shared, shared, silentTrial, silentTrial}, Blocked},
		{"four whose workers have ended", Losses{ended, ended, ended, ended}, Poison},
		{"four, one worker only silent", Losses{ended, ended, ended, shared}, Blocked},
		{"five, one worker only silent", Losses{ended, ended, ended, ended, shared}, Poison},
		{"three and one provisional", Losses{shared, shared, silentTrial, provisional}, TrialOnly},
		{"a trial after starts that may not have arrived", Losses{undelivered, shared, trial}, TrialOnly},
		{"three that may not have arrived", Losses{undelivered, undelivered, undelivered}, TrialOnly},
		{"four that may not have arrived", Losses{undelivered, undelivered, undelivered, undelivered}, Blocked},
		{"one long after its start", Losses{late}, Unrestricted},
		{"two long after their starts", Losses{late, late}, Separate},
		{"one soon, one long after its start", Losses{late, shared}, Separate},
		{"three long after their starts", Losses{late, late, late}, TrialOnly},
		{"four, the last on trial", Losses{late, late, late, trial}, Poison},
		{"provisional only", Losses{provisional, provisional}, Unrestricted},
	} {
		qt.Check(t, tc.losses.Restriction(), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// TestCounted checks that only the attempts in a trial are counted if there are any, and that
// attempts that had run for long are not.
func TestCounted(t *testing.T) {
	qt.Check(t, Counted([]Attempt{{Ran: 0}, {Ran: maxCountedRun}, {Ran: time.Second}}), qt.DeepEquals, []bool{true, false, true})
	qt.Check(t, Counted([]Attempt{{Ran: 0}, {Trial: true}, {Ran: time.Second}}), qt.DeepEquals, []bool{false, true, false})
	qt.Check(t, Counted([]Attempt{{Trial: true}, {Ran: 0}, {Trial: true}}), qt.DeepEquals, []bool{true, false, true})
	qt.Check(t, Counted(nil), qt.HasLen, 0)
}

// TestLosses compares adding, confirming and removing losses in any order with a map.
func TestLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ls Losses
		model := map[int64]Loss{}
		boots := []string{"a", "b", "c"}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			boot := rapid.SampledFrom(boots).Draw(t, "boot")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				l := Loss{Attempt: int64(rapid.IntRange(1, 4).Draw(t, "attempt")), Boot: boot}
				if _, known := model[l.Attempt]; !known {
					model[l.Attempt] = l
				}
				ls = ls.With(l)
			case 1:
				for n, l := range model {
					l.Ended = l.Ended || l.Boot == boot
					model[n] = l
				}
				ls = ls.MarkEnded(boot)
			case 2:
				for n, l := range model {
					if l.Boot == boot {
						delete(model, n)
					}
				}
				ls = ls.WithoutBoot(boot)
			}
			if len(ls) != len(model) {
				t.Fatalf("%d losses, want %d", len(ls), len(model))
			}
			for _, l := range ls {
				if model[l.Attempt] != l {
					t.Fatalf("loss %v, want %v", l, model[l.Attempt])
				}
			}
		}
	})
}
