package jobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/blame"
)

// A step's verdict is the most restrictive one of its tasks, whichever has more losses.
func TestStepVerdict(t *testing.T) {
	soon, late := blame.Loss{Delivered: true}, blame.Loss{Delivered: true, Ran: time.Second}
	proof := blame.Loss{Trial: true, Ended: true}
	for _, tc := range []struct {
		name          string
		first, second blame.Losses
		want          blame.Restriction
	}{
		{"none", nil, nil, blame.Unrestricted},
		{"one soon after its start", nil, blame.Losses{soon}, blame.Separate},
		{"as many later ones", blame.Losses{late, late}, blame.Losses{soon, soon}, blame.TrialOnly},
		{"more later ones", blame.Losses{late, late}, blame.Losses{soon}, blame.Separate},
		{"one given up", blame.Losses{late, late, late}, blame.Losses{soon, soon, proof}, blame.Poison},
	} {
		for _, order := range [][2]blame.Losses{{tc.first, tc.second}, {tc.second, tc.first}} {
			s := &StepRun{Tasks: []*Task{{Losses: order[0]}, {Losses: order[1]}}}
			qt.Check(t, s.Verdict(), qt.Equals, tc.want, qt.Commentf(tc.name))
		}
	}
}
