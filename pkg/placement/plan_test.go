package placement

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestPlan compares Plan with planNaively on steps of all kinds.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfN(rapid.Custom(drawHost), 1, 8).Draw(t, "hosts")
		cs := rapid.SliceOfN(rapid.Custom(drawCandidate), 1, 8).Draw(t, "candidates")
		for i := range hosts {
			hosts[i].Boot = fmt.Sprintf("w%d", i)
		}
		got := names(Plan(cs, cloned(hosts), math.MaxInt))
		want := names(planNaively(cs, cloned(hosts)))
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// TestPlanLimit checks that a plan ends after the given number of starts.
func TestPlanLimit(t *testing.T) {
	h := &Host{Capacity: platform.Resources{CPU: 8000}, Free: platform.Resources{CPU: 8000}}
	j := newJob(jobs.Step{Count: 6, Needs: platform.Resources{CPU: 1000}})
	cs := []Candidate{{Step: j.Steps[0], Tasks: j.Steps[0].Tasks}}
	qt.Check(t, Plan(cs, []*Host{h}, 4), qt.HasLen, 4)
	qt.Check(t, Plan(cs, []*Host{h}, 0), qt.HasLen, 0)
}

func newJob(st jobs.Step) *jobs.Job {
	b := jobs.NewRegistry(1)
	b.Add("j", jobs.Record{Spec: jobs.Spec{Steps: []jobs.Step{st}}}, 0)
	return b.Job("j")
}

func drawHost(t *rapid.T) *Host {
	capacity := platform.Resources{CPU: 8000, MemoryMB: 100}
	return &Host{
		Rack: rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "rack"), Labels: []string{rapid.SampledFrom([]string{"big", "small"}).Draw(t, "label")},
		Capacity: capacity, Free: platform.Resources{CPU: rapid.IntRange(0, 8).Draw(t, "free") * 1000, MemoryMB: rapid.IntRange(0, 100).Draw(t, "memory")},
		Penalty: float64(rapid.IntRange(0, 2).Draw(t, "penalty")),
	}
}

func drawCandidate(t *rapid.T) Candidate {
	st := jobs.Step{
		Count:       rapid.IntRange(1, 6).Draw(t, "count"),
		Needs:       platform.Resources{CPU: rapid.IntRange(1, 4).Draw(t, "cpu") * 1000, MemoryMB: rapid.IntRange(0, 3).Draw(t, "mb") * 10},
		LongRunning: rapid.Bool().Draw(t, "lasting"), MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "apart"),
		Label: rapid.SampledFrom([]string{"", "", "big"}).Draw(t, "needs"), DataRack: rapid.SampledFrom([]string{"", "r2"}).Draw(t, "data"),
	}
	s := newJob(st).Steps[0]
	if st.Count == 1 && rapid.Bool().Draw(t, "watched") {
		return Candidate{Step: s, Tasks: s.Tasks, Separate: true}
	}
	if rapid.Bool().Draw(t, "copies") {
		s.Tasks[0].Attempts = []*jobs.Attempt{{Task: s.Tasks[0], Boot: "w0"}}
	}
	return Candidate{Step: s, Tasks: s.Tasks}
}

func cloned(hosts []*Host) (out []*Host) {
	for _, h := range hosts {
		c := *h
		out = append(out, &c)
	}
	return out
}

// planNaively scores all hosts for each task.
func planNaively(cs []Candidate, hosts []*Host) (starts []Start) {
	for _, c := range cs {
		for _, t := range c.Tasks {
			h := bestHost(&c, t, hosts)
			if h == nil && len(t.Attempts) > 0 {
				continue
			}
			if h == nil {
				break
			}
			h.place(c.Step)
			if c.Separate {
				h.SuspectedTasks++
			}
			starts = append(starts, Start{Task: t, Host: h})
		}
	}
	return starts
}

func names(starts []Start) (out []string) {
	for _, s := range starts {
		out = append(out, fmt.Sprintf("%p at %s", s.Task, s.Host.Boot))
	}
	return out
}

// A long-running task rather goes to an empty host than to one with others that they will have to leave,
// but still rather there than to a host with a task of its step.
func TestLeavingHostLast(t *testing.T) {
	c := qt.New(t)
	other := newJob(jobs.Step{Count: 1, LongRunning: true}).Steps[0]
	j := newJob(jobs.Step{Count: 1, Needs: platform.Resources{CPU: 1000}, LongRunning: true})
	cs := []Candidate{{Step: j.Steps[0], Tasks: j.Steps[0].Tasks}}
	host := func(boot string, leaving bool, runs ...*jobs.StepRun) *Host {
		h := &Host{Boot: boot, Leaving: leaving, Capacity: platform.Resources{CPU: 8000}, Free: platform.Resources{CPU: 8000}}
		for _, s := range runs {
			h.CountTask(s)
		}
		return h
	}
	choose := func(hosts ...*Host) string { return Plan(cs, hosts, 1)[0].Host.Boot }
	c.Check(choose(host("packed", true, other), host("empty", false)), qt.Equals, "empty")
	c.Check(choose(host("packed", false, other), host("empty", false)), qt.Equals, "packed")
	c.Check(choose(host("packed", true, other), host("own", false, j.Steps[0])), qt.Equals, "packed")
}
