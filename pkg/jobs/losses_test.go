package jobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/quarantine"
)

// A step's restriction is the strictest one of its tasks, whichever has more losses.
func TestStepRestriction(t *testing.T) {
	soon, late := quarantine.Loss{Delivered: true}, quarantine.Loss{Delivered: true, Ran: time.Second}
	failedTrial := quarantine.Loss{Trial: true, Ended: true}
	for _, tc := range []struct {
		name          string
		first, second quarantine.Losses
		want          quarantine.Restriction
	}{
		{"none", nil, nil, quarantine.Unrestricted},
		{"one soon after its start", nil, quarantine.Losses{soon}, quarantine.Separate},
		{"as many later ones", quarantine.Losses{late, late}, quarantine.Losses{soon, soon}, quarantine.TrialOnly},
		{"more later ones", quarantine.Losses{late, late}, quarantine.Losses{soon}, quarantine.Separate},
		{"one given up", quarantine.Losses{late, late, late}, quarantine.Losses{soon, soon, failedTrial}, quarantine.Poison},
	} {
		for _, order := range [][2]quarantine.Losses{{tc.first, tc.second}, {tc.second, tc.first}} {
			s := &StepRun{Tasks: []*Task{{Losses: order[0]}, {Losses: order[1]}}}
			qt.Check(t, s.Restriction(), qt.Equals, tc.want, qt.Commentf(tc.name))
		}
	}
}
