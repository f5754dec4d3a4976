package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Weights in the score of a host, relative to the CPU capacity of the host.
const (
	// dataRackWeight outweighs the other terms, since a task runs much longer away from its data.
	dataRackWeight = 4.0
	// spreadWeight keeps tasks of one long-running step on different workers.
	spreadWeight = 1.5
	// packWeight keeps long-running tasks of different steps on few workers, so that others can leave the
	// pool. It does not count where they will have to move again.
	packWeight = 1.0
	// coldWeight has warm workers chosen first for finite tasks, but not for those whose data is in the
	// rack of a cold worker.
	coldWeight = 3.0
	// leavingWeight is less than spreadWeight-packWeight, so that tasks of one step do not gather on a
	// VM that stays.
	leavingWeight = 0.4
)

// Margin on the remaining work of a job when it is compared with the deadline, so that resources
// don't go to jobs that would just miss it.
const (
	marginDivisor = 10                     // the margin is 1/marginDivisor of the remaining work
	minMargin     = 100 * time.Millisecond // added to that
)

// Candidate is a step with tasks that may start now.
type Candidate struct {
	Step          *jobs.StepRun
	Tasks         []*jobs.Task
	Priority      int                    // of its queue, 0 goes first
	Deadline      time.Duration          // when its job should be done, on the clock of now
	Allowed       func(boot string) bool // hosts on which the advice service allows the step, nil for any
	Expiry        time.Duration          // when a result of its job is hardly of use any more, 0 for never
	RemainingPath time.Duration          // expected duration of the longest chain of remaining steps of its job
	Budget        *Budget                // of its client account, nil for no limit
	Separate      bool                   // its single task must not share a worker with a suspected task
	Excess        bool                   // its job exceeds the guaranteed rate of its account
}

// Start assigns a task to a host.
type Start struct {
	Task *jobs.Task
	Host *Host
}

// Sort sorts candidates by the order in which they get resources.
func Sort(cs []Candidate, now time.Duration) {
	slices.SortStableFunc(cs, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(b.servingRank(), a.servingRank()),
			cmp.Compare(a.excessRank(), b.excessRank()),
			cmp.Compare(a.latenessRank(now), b.latenessRank(now)),
			cmp.Compare(a.Deadline-a.RemainingPath, b.Deadline-b.RemainingPath),
		)
	})
}

// servingRank is 1 for long-running tasks other than fillers, which serve requests. Sort puts the
// higher rank first.
func (c *Candidate) servingRank() int {
	if c.Step.Spec.LongRunning && !c.Step.Spec.Filler {
		return 1
	}
	return 0
}

// excessRank is 1 for jobs over the guaranteed rate of their account. Sort puts the lower rank
// first, so that an account that submits too much does not make the jobs of others late.
func (c *Candidate) excessRank() int {
	if c.Excess {
		return 1
	}
	return 0
}

// Late reports whether the job will probably miss its deadline even if the tasks start now.
func (c *Candidate) Late(now time.Duration) bool { return c.latenessRank(now) > 0 }

// latenessRank puts jobs that will probably be late after those that can be done in time, and those
// that will be done after their expiry last.
func (c *Candidate) latenessRank(now time.Duration) int {
	switch end := now + c.RemainingPath + c.RemainingPath/marginDivisor + minMargin; {
	case c.Expiry != 0 && end > c.Expiry:
		return 2
	case end > c.Deadline:
		return 1
	default:
		return 0
	}
}

// Plan chooses hosts for sorted candidates and updates the hosts' free resources. It ends after
// limit starts, except that a gang is always planned whole.
func Plan(cs []Candidate, hosts []*Host, limit int) (starts []Start) {
	full := map[fitKey]bool{} // no host has room for these any more
	for i := range cs {
		c := &cs[i]
		if len(starts) >= limit {
			return starts
		}
		if c.Step.Spec.Gang {
			starts = append(starts, planGang(*c, hosts)...)
			continue
		}
		if full[fitKeyOf(c.Step.Spec)] {
			continue
		}
		more, roomLeft := planStep(c, hosts, limit-len(starts))
		starts = append(starts, more...)
		if !roomLeft && c.Allowed == nil && !c.Separate && c.Step.Spec.MaxPerWorker == 0 {
			full[fitKeyOf(c.Step.Spec)] = true
		}
	}
	return starts
}

// fitKey identifies steps that fit on the same hosts, apart from advice and limits per worker.
type fitKey struct {
	charge platform.Resources
	label  string
}

func fitKeyOf(st *jobs.Step) fitKey { return fitKey{charge: Charge(st), label: st.Label} }

// planStep chooses hosts for the tasks of a step. roomLeft is false if no host had room for one of
// them; it is true if the limit or the budget ended the plan.
func planStep(c *Candidate, hosts []*Host, limit int) (starts []Start, roomLeft bool) {
	var last *Host
	for _, t := range c.Tasks {
		if len(starts) >= limit {
			return starts, true
		}
		speculative := len(t.Attempts) > 0
		h := last
		// The fullest host is preferred, so the one that got the last task stays the best while it
		// has room. Only long-running tasks are spread.
		if h == nil || speculative || c.Step.Spec.LongRunning || !h.canStart(c.Step) {
			h = bestHost(c, t, hosts)
		}
		if h == nil && speculative {
			continue // a speculative copy must not start where another attempt is
		}
		if h == nil {
			return starts, false // all tasks of a step have the same needs
		}
		if !c.Budget.take(c.Step.Spec, 1) {
			return starts, true
		}
		h.place(c.Step)
		if c.Separate {
			h.SuspectedTasks++
		}
		starts = append(starts, Start{Task: t, Host: h})
		last = h
		if speculative {
			last = nil
		}
	}
	return starts, true
}

// Reserve takes room for one more task of a step on the best host; it reports whether there is one.
func Reserve(s *jobs.StepRun, hosts []*Host) bool {
	h := bestHost(&Candidate{Step: s}, nil, hosts)
	if h == nil {
		return false
	}
	h.place(s)
	return true
}

// bestHost returns the host with the highest score for a task of the step, nil if none has room. It
// excludes the hosts of the other attempts of t, which may be nil: a host takes resources for only
// one attempt of a task.
func bestHost(c *Candidate, t *jobs.Task, hosts []*Host) (chosen *Host) {
	s := c.Step
	var top float64
	for _, h := range hosts {
		if c.Separate && h.SuspectedTasks > 0 {
			continue
		}
		if !h.canStart(s) || c.Allowed != nil && !c.Allowed(h.Boot) || runsAt(t, h.Boot) {
			continue
		}
		if score := h.score(s); chosen == nil || score > top {
			chosen, top = h, score
		}
	}
	return chosen
}

// runsAt reports whether an attempt of a task is or may be at a boot.
func runsAt(t *jobs.Task, boot string) bool {
	return t != nil && slices.ContainsFunc(t.Attempts, func(a *jobs.Attempt) bool { return a.Boot == boot })
}

// score returns how well the host suits the step; higher is better.
func (h *Host) score(s *jobs.StepRun) float64 {
	// Fill hosts one by one, so that others stay empty and can leave the pool.
	score := -float64(h.Free.CPU)/float64(max(h.Capacity.CPU, 1)) - h.Penalty
	if h.Cold && !s.Spec.LongRunning {
		score -= coldWeight
	}
	if s.Spec.DataRack != "" && s.Spec.DataRack == h.Rack {
		score += dataRackWeight
	}
	if s.Spec.LongRunning {
		score -= spreadWeight * float64(h.perStep[s])
		switch {
		case h.Leaving:
			score -= leavingWeight
		case h.longRunning > 0:
			score += packWeight
		}
	}
	return score
}

// planGang places all tasks of a step or none. A step with SameRack gets a single rack if one has
// room for all.
func planGang(c Candidate, hosts []*Host) []Start {
	if len(c.Tasks) != len(c.Step.Tasks) {
		return nil // attempts of an earlier run have not ended yet
	}
	if !c.Budget.covers(c.Step.Spec, len(c.Tasks)) {
		return nil
	}
	if c.Step.Spec.SameRack {
		for _, group := range byRack(hosts) {
			if starts := placeAll(c, group); starts != nil {
				return starts
			}
		}
	}
	return placeAll(c, hosts)
}

func placeAll(c Candidate, hosts []*Host) (starts []Start) {
	for _, t := range c.Tasks {
		h := bestHost(&c, nil, hosts)
		if h == nil {
			for _, s := range starts {
				s.Host.unplace(c.Step)
			}
			return nil
		}
		h.place(c.Step)
		starts = append(starts, Start{Task: t, Host: h})
	}
	c.Budget.take(c.Step.Spec, len(starts))
	return starts
}

// byRack groups hosts by rack, the rack with most free CPU on warm hosts first.
func byRack(hosts []*Host) (groups [][]*Host) {
	at := map[string]int{}
	for _, h := range hosts {
		i, ok := at[h.Rack]
		if !ok {
			i = len(groups)
			at[h.Rack] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], h)
	}
	free := func(g []*Host) (n int) {
		for _, h := range g {
			if !h.Cold {
				n += h.Free.CPU
			}
		}
		return n
	}
	slices.SortStableFunc(groups, func(a, b []*Host) int { return cmp.Compare(free(b), free(a)) })
	return groups
}
