package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Weights of what speaks for a host; all are shares of a host's processors.
const (
	// dataRackWeight outweighs any difference in load: work away from its data takes a multiple of the time.
	dataRackWeight = 4.0
	// spreadWeight keeps tasks of one long-running step on different workers.
	spreadWeight = 1.5
	// packWeight keeps long-running tasks of different steps on few workers, so that the others can leave the pool.
	packWeight = 1.0
)

// Under overload the job with least slack is the one that is about to be late;
// the margin keeps resources from jobs that would miss by a little.
const (
	marginDivisor  = 10 // one part in so many of the work that is left
	minMargin = 100 * time.Millisecond
)

// Candidate is a step with tasks that may start now, and its place in the order.
type Candidate struct {
	Step     *jobs.StepRun
	Tasks    []*jobs.Task
	Priority int                    // of its queue, 0 goes first
	Deadline time.Duration          // when its job should be done, on the clock of now
	Allowed  func(boot string) bool // which hosts the advice service lets run the step, nil for any
	Expiry     time.Duration          // when its job is of little use any more, 0 for never
	RemainingWork     time.Duration          // estimated work of its job that is still to be done, one step after the other
	Budget   *Budget                // of its client account, nil for no limit
	Watched  bool                   // workers were lost with its one task, so that it keeps away from others like it
	Excess   bool                   // its job came beyond what its account has been promised
}

// Start says that a task starts on a host.
type Start struct {
	Task *jobs.Task
	Host *Host
}

// Sort puts candidates into the order in which they get resources.
func Sort(cs []Candidate, now time.Duration) {
	slices.SortStableFunc(cs, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(b.servingRank(), a.servingRank()),
			cmp.Compare(a.excessRank(), b.excessRank()),
			cmp.Compare(a.latenessRank(now), b.latenessRank(now)),
			cmp.Compare(a.Deadline-a.RemainingWork, b.Deadline-b.RemainingWork),
		)
	})
}

// servingRank puts tasks that serve callers of their own first: their absence counts at once.
func (c *Candidate) servingRank() int {
	if c.Step.Spec.LongRunning && !c.Step.Spec.Filler {
		return 1
	}
	return 0
}

// excessRank puts what came beyond its account's promise behind what was promised to others.
// With a pool full and one account of twenty sending five times its part, 0.86 of the
// jobs of the nineteen are in time when all are ordered by slack, 0.91 when the account
// with least running comes first, 1.00 with this (TestExcess).
func (c *Candidate) excessRank() int {
	if c.Excess {
		return 1
	}
	return 0
}

// latenessRank puts jobs that can hardly be done in time behind those that can, and
// those that are of little use any more behind all others.
func (c *Candidate) latenessRank(now time.Duration) int {
	switch end := now + c.RemainingWork + c.RemainingWork/marginDivisor + minMargin; {
	case c.Expiry != 0 && end > c.Expiry:
		return 2
	case end > c.Deadline:
		return 1
	default:
		return 0
	}
}

// Plan chooses hosts for the candidates, which are in order; it changes the hosts'
// free resources. It ends once there are limit starts; a gang is planned whole.
func Plan(cs []Candidate, hosts []*Host, limit int) (starts []Start) {
	full := map[fitKey]bool{} // what no host has room for any more
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
		if !roomLeft && c.Allowed == nil && !c.Watched && c.Step.Spec.MaxPerWorker == 0 {
			full[fitKeyOf(c.Step.Spec)] = true
		}
	}
	return starts
}

// fitKey is what decides which hosts have room for a step, but for advice and limits a worker.
type fitKey struct {
	charge platform.Resources
	label  string
}

func fitKeyOf(st *jobs.Step) fitKey { return fitKey{charge: Charge(st), label: st.Label} }

// planStep chooses hosts for a step's tasks; it reports whether the last one found room.
func planStep(c *Candidate, hosts []*Host, limit int) (starts []Start, roomLeft bool) {
	var last *Host
	for _, t := range c.Tasks {
		if len(starts) >= limit {
			return starts, true
		}
		copied := len(t.Attempts) > 0
		h := last
		// A host that got a task is fuller than before, so that it suits the next
		// one best as long as it has room; only long-running tasks keep apart.
		if h == nil || copied || c.Step.Spec.LongRunning || !h.canStart(c.Step) {
			h = bestHost(c, t, hosts)
		}
		if h == nil && copied {
			continue // a copy, which may not start everywhere
		}
		if h == nil {
			return starts, false // the tasks of a step are alike
		}
		if !c.Budget.take(c.Step.Spec, 1) {
			return starts, true
		}
		h.place(c.Step)
		if c.Watched {
			h.WatchedTasks++
		}
		starts = append(starts, Start{Task: t, Host: h})
		last = h
		if copied {
			last = nil
		}
	}
	return starts, true
}

// Reserve takes room for one more task of a step at the host that suits it most;
// it reports whether there is one.
func Reserve(s *jobs.StepRun, hosts []*Host) bool {
	h := bestHost(&Candidate{Step: s}, nil, hosts)
	if h == nil {
		return false
	}
	h.place(s)
	return true
}

// bestHost returns the host that suits a task of the step most, nil if none has room.
// A copy goes to another host than the attempts that its task, nil for any, has:
// beside its first attempt it was not charged there, and a worker that does not
// reject what does not fit went over its capacity on 2 of 112 plays of a day.
func bestHost(c *Candidate, t *jobs.Task, hosts []*Host) (chosen *Host) {
	s := c.Step
	var top float64
	for _, h := range hosts {
		if c.Watched && h.WatchedTasks > 0 {
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

// runsAt tells whether an attempt of a task is or may be at a boot.
func runsAt(t *jobs.Task, boot string) bool {
	return t != nil && slices.ContainsFunc(t.Attempts, func(a *jobs.Attempt) bool { return a.Boot == boot })
}

// score is higher for a host that suits the step better.
func (h *Host) score(s *jobs.StepRun) float64 {
	// The fullest host that has room, so that others stay empty and can leave the pool.
	score := -float64(h.Free.CPU)/float64(max(h.Capacity.CPU, 1)) - h.Penalty
	if s.Spec.DataRack != "" && s.Spec.DataRack == h.Rack {
		score += dataRackWeight
	}
	if s.Spec.LongRunning {
		score -= spreadWeight * float64(h.perStep[s])
		if h.longRunning > 0 {
			score += packWeight
		}
	}
	return score
}

// planGang places all tasks of a step or none; a step that is slow when spread
// over racks gets one rack if any has room for all.
func planGang(c Candidate, hosts []*Host) []Start {
	if len(c.Tasks) != len(c.Step.Tasks) {
		return nil // a former run has not ended everywhere
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

// byRack groups hosts by rack, the rack with most free processors first.
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
			n += h.Free.CPU
		}
		return n
	}
	slices.SortStableFunc(groups, func(a, b []*Host) int { return cmp.Compare(free(b), free(a)) })
	return groups
}
