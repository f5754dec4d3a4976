package shard

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/quarantine"
)

// missedObjectiveFactor is the multiple of its latency objective after which the result of a job
// is hardly of use, so that other jobs are placed first.
const missedObjectiveFactor = 3

// maxExcessDelay is how long a job over the guaranteed rate of its account is placed after the jobs
// of other accounts; the bound prevents starvation.
const maxExcessDelay = 10 * time.Second

// placementTimeDivisor limits placement passes to 1/placementTimeDivisor of the time, as far as
// maxPlacementPause allows. Changes during a pause share a pass, since each pass scans all
// workers and waiting tasks.
const placementTimeDivisor = 5

// maxPlacementPause bounds the pause after a pass that took long, as on an overloaded machine.
const maxPlacementPause = 20 * time.Millisecond

// placeLoop runs a placement pass whenever something has changed.
func (o *Owner) placeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.placeWake:
		}
		started := o.now()
		o.place()
		o.notePass(o.now() - started)
		_ = pause.For(ctx, min(maxPlacementPause, (placementTimeDivisor-1)*(o.now()-started))) // the loop checks ctx
	}
}

// passCounts counts the passes of placement.
type passCounts struct {
	passes int64
	took   time.Duration // of all together, by the owner's clock
}

// notePass counts a pass of placement.
func (o *Owner) notePass(took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.placement.passes++
	o.placement.took += took
}

// Passes returns how many passes of placement the owner has made.
func (o *Owner) Passes() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.placement.passes
}

// place starts the tasks that fit; see pkg/placement for the order.
func (o *Owner) place() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.releasing || o.catalog == nil {
		return
	}
	now := o.now()
	if !o.ownershipConfirmed(now) {
		return
	}
	o.advanceSchedules()
	o.clearSuspects()
	o.endTrials(now)
	candidates, trialOnly := o.candidates(now)
	o.hasWaitingTasks = len(candidates)+len(trialOnly) > 0
	if !o.hasWaitingTasks {
		return
	}
	placement.Sort(candidates, now)
	hosts := o.hosts(now)
	for _, cs := range [][]placement.Candidate{candidates, trialOnly} {
		for i := range cs {
			o.applyAdvice(&cs[i], hosts, now)
		}
	}
	if len(trialOnly) > 0 {
		o.startTrials(trialOnly, now)
		hosts = o.hosts(now) // without the workers reserved for trials
	}
	starts := placement.Plan(candidates, hosts, o.rate.Available(now))
	o.logAccountsAtLimit(candidates, now)
	o.rate.Spend(len(starts))
	var gangs []*jobs.StepRun
	boots := map[*jobs.StepRun][]string{}
	for _, st := range starts {
		if step := st.Task.Step; step.Spec.Gang {
			if boots[step] == nil {
				gangs = append(gangs, step)
			}
			boots[step] = append(boots[step], st.Host.Boot)
			continue
		}
		o.dispatchStart(o.registry.StartAttempt(st.Task, st.Host.Boot, now))
	}
	for _, step := range gangs {
		for _, a := range o.registry.StartGang(step, boots[step], now) {
			o.dispatchStart(a)
		}
	}
}

// advanceSchedules creates the due occurrences of scheduled jobs and drops past ones.
func (o *Owner) advanceSchedules() {
	wall := time.Duration(time.Now().UnixNano())
	for _, j := range o.registry.Active() {
		for _, s := range j.Advance(wall) {
			delete(o.advices, s)
		}
	}
}

// hosts returns placement's view of the workers that accept tasks, by boot. The hosts are cached
// and planning changes them, so planned starts must be dispatched before the lock is released.
func (o *Owner) hosts(now time.Duration) (hosts []*placement.Host) {
	coldIsSlow := o.coldSpeed.slow()
	for _, s := range o.sessionsByBoot() {
		if s.acceptsTasks(now) {
			h := s.host(now)
			h.Cold = coldIsSlow && s.cold.contains(now)
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// scratchHosts returns uncached copies of hosts, for plans that are not carried out.
func (o *Owner) scratchHosts(now time.Duration) (hosts []*placement.Host) {
	for _, s := range o.sessionsByBoot() {
		if s.acceptsTasks(now) {
			hosts = append(hosts, s.newHost())
		}
	}
	return hosts
}

// sessionsByBoot returns the sessions sorted by boot, cached until one is added or removed.
func (o *Owner) sessionsByBoot() []*session {
	if o.sortedSessions == nil {
		o.sortedSessions = slices.SortedFunc(maps.Values(o.sessions), func(a, b *session) int { return cmp.Compare(a.ref.Boot, b.ref.Boot) })
	}
	return o.sortedSessions
}

// candidates returns the steps with startable tasks, and separately those that may start only
// in a trial, since they may crash their worker: one task each, or a gang.
func (o *Owner) candidates(now time.Duration) (cs, trialOnly []placement.Candidate) {
	remaining := map[*jobs.Job]time.Duration{}
	budgets := o.newBudgets()
	o.eachStartable(false, func(s *jobs.StepRun, startable []*jobs.Task) {
		if _, ok := remaining[s.Job]; !ok {
			remaining[s.Job] = o.remainingPath(s.Job, now)
		}
		c := o.candidate(s, startable, remaining[s.Job], now)
		c.Budget = budgets.of(s.Job.Account)
		if len(o.suspects) == 0 {
			cs = append(cs, c)
			return
		}
		free, trials := splitByRestriction(c)
		cs, trialOnly = append(cs, free...), append(trialOnly, trials...)
	})
	return cs, trialOnly
}

// splitByRestriction divides a step's tasks by where the losses counted against them let them
// start. The tasks of a gang start together, so they share one trial and may share a worker.
func splitByRestriction(c placement.Candidate) (free, trialOnly []placement.Candidate) {
	if c.Step.Spec.Gang {
		switch c.Step.Restriction() {
		case quarantine.TrialOnly:
			return nil, []placement.Candidate{c}
		case quarantine.Blocked, quarantine.Poison:
			return nil, nil
		default:
			return []placement.Candidate{c}, nil
		}
	}
	clean := c
	clean.Tasks = nil
	for _, t := range c.Tasks {
		one := c
		one.Tasks = []*jobs.Task{t}
		switch t.Restriction() {
		case quarantine.Unrestricted:
			clean.Tasks = append(clean.Tasks, t)
		case quarantine.Separate:
			one.Separate = true // from other suspected tasks
			free = append(free, one)
		case quarantine.TrialOnly:
			trialOnly = append(trialOnly, one)
		case quarantine.Blocked: // until each unreachable worker answers or is known to have ended
		case quarantine.Poison: // failIfPoison fails its job
		}
	}
	if len(clean.Tasks) > 0 {
		free = append(free, clean)
	}
	return free, trialOnly
}

// eachStartable calls f for each step with startable tasks, in order of acceptance; with
// includeAwaiting also those that wait for a worker's first report after the takeover.
func (o *Owner) eachStartable(includeAwaiting bool, f func(s *jobs.StepRun, startable []*jobs.Task)) {
	wall := time.Duration(time.Now().UnixNano())
	for _, j := range o.registry.Active() {
		for _, s := range j.Steps {
			if !s.Ready() || s.Finished() || s.Due() > wall {
				continue
			}
			if startable := o.startableTasks(s, includeAwaiting); len(startable) > 0 {
				f(s, startable)
			}
		}
	}
}

// startableTasks returns the waiting tasks of a step, and the running stragglers that want a
// speculative copy; with includeAwaiting also those that wait for a worker's first report after
// the takeover.
func (o *Owner) startableTasks(s *jobs.StepRun, includeAwaiting bool) (tasks []*jobs.Task) {
	if s.CountIdle() == 0 && !s.Spec.Speculative {
		return nil
	}
	for _, t := range s.Tasks {
		if !includeAwaiting && o.mayRunAtPendingWorker(t) {
			continue
		}
		if t.Idle() || t.CopyRequested && !t.Done && len(t.Attempts) == 1 && len(t.Losses) == 0 {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// maxObjective bounds the latency objectives of jobs, so that multiples of them fit.
const maxObjective = 365 * 24 * time.Hour

// objectiveOf returns the latency objective of a job with a critical path.
func objectiveOf(l *catalog.ServiceLevel, path time.Duration) time.Duration {
	stretched := l.Stretch * float64(path)
	if !(stretched < float64(maxObjective)) { // not a number, too
		return maxObjective
	}
	target := max(0, min(maxObjective, l.TargetLatency))
	return min(maxObjective, target+max(0, time.Duration(stretched)))
}

func (o *Owner) candidate(s *jobs.StepRun, startable []*jobs.Task, remaining, now time.Duration) placement.Candidate {
	j := s.Job
	c := placement.Candidate{Step: s, Tasks: startable, RemainingPath: remaining, Deadline: j.AddedAt + remaining}
	if q := o.serviceLevelOf(j); q != nil {
		objective := objectiveOf(q, o.criticalPath(j))
		c.Priority = q.Priority
		due := j.AddedAt
		if at := s.Due(); at > 0 {
			due = now - (time.Duration(time.Now().UnixNano()) - at)
		}
		c.Deadline = due + objective
		c.Expiry = due + missedObjectiveFactor*objective
	}
	c.Excess = j.Excess && now-j.AddedAt < maxExcessDelay
	return c
}
