package shard

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// TestOddObjective guards against an objective that overflows, so that a job counts as late, or as never due.
func TestOddObjective(t *testing.T) {
	const path = 4 * time.Second
	for name, tc := range map[string]struct {
		target  time.Duration
		stretch float64
		path    time.Duration
		want    time.Duration
	}{
		"sound":           {time.Second, 2.5, path, 11 * time.Second},
		"no stretch":      {time.Second, 0, path, time.Second},
		"large stretch":   {time.Second, 1e300, path, maxObjective},
		"infinite":        {time.Second, math.Inf(1), path, maxObjective},
		"no number":       {time.Second, math.NaN(), path, maxObjective},
		"negative":        {time.Second, -1e300, path, time.Second},
		"endless target":  {math.MaxInt64, 2, path, maxObjective},
		"negative target": {math.MinInt64, 2, path, 2 * path},
		"both large":      {maxObjective, float64(maxObjective/path) - 1, path, maxObjective},
		"endless path":    {time.Second, 1, math.MaxInt64, maxObjective},
		"negative path":   {time.Second, 1, math.MinInt64, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			got := objectiveOf(&catalog.ServiceLevel{TargetLatency: tc.target, Stretch: tc.stretch}, tc.path)
			qt.Check(t, got, qt.Equals, tc.want)
			qt.Check(t, missedObjectiveFactor*got >= got, qt.IsTrue)
		})
	}
}

// TestOddObjectiveOfCandidate guards against a job whose results count as worthless at once, since its objective overflows.
func TestOddObjectiveOfCandidate(t *testing.T) {
	now := 5 * time.Second
	reg := jobs.NewRegistry(1)
	reg.Restore("j", jobs.Record{ServiceLevel: &catalog.ServiceLevel{Stretch: 1e300}, Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1, Estimate: time.Second}}}}, jobs.Progress{}, now)
	o := &Owner{catalog: catalog.New(catalog.Catalog{}), registry: reg, durations: map[string]*durationStats{}}
	s := reg.Task("j.0.0.0").Step
	c := o.candidate(s, s.Tasks, time.Second, now)
	qt.Check(t, c.Deadline, qt.Equals, now+maxObjective)
	qt.Check(t, c.Expiry, qt.Equals, now+missedObjectiveFactor*maxObjective)
}
