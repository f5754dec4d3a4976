package shard

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

const (
	// defaultRestartTime is the assumed time of a long-running task's restart until one was observed.
	defaultRestartTime = 2 * time.Second
	// maxRestartTime bounds an observed restart; longer ones waited for room.
	maxRestartTime = 10 * time.Second
	// restartSmoothing is the weight of the newest restart in the average.
	restartSmoothing = 0.25
	// waveVMsTTL is how long the VMs that open waves will drain are remembered.
	waveVMsTTL = 4 * time.Second
	// maxLimitedTasks bounds the tasks in Load.Limited.
	maxLimitedTasks = 2000
)

// LimitedStep describes a step that limits its missing tasks and has tasks on VMs of open waves.
type LimitedStep struct {
	Step    string        // name of the step
	Places  int           // tasks that may be missing at once
	Missing int           // tasks that do not serve
	Restart time.Duration // about how long moving a task takes
	VMs     []string      // VM of each task on a VM of an open wave
}

// waveVMs are the VMs of the pool that open waves will drain.
type waveVMs struct {
	names map[string]bool
	until time.Duration // when they are forgotten
}

// SetWaveVMs tells the owner the VMs that open waves will still drain; long-running tasks prefer
// others.
func (o *Owner) SetWaveVMs(vms []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	next := make(map[string]bool, len(vms))
	for _, vm := range vms {
		next[vm] = true
	}
	changed := !maps.Equal(next, o.waveVMs.names)
	o.waveVMs = waveVMs{names: next, until: now + waveVMsTTL}
	if changed {
		o.markLeavingHosts()
	}
}

// expireWaveVMs forgets the VMs of waves if no request has named them lately; the lock is held.
func (o *Owner) expireWaveVMs(now time.Duration) {
	if len(o.waveVMs.names) > 0 && now >= o.waveVMs.until {
		o.waveVMs.names = nil
		o.markLeavingHosts()
	}
}

// markLeavingHosts updates the sessions whose VMs open waves will drain.
func (o *Owner) markLeavingHosts() {
	for _, s := range o.sessions {
		if leaving := o.waveVMs.names[s.vm]; leaving != s.inWave {
			s.inWave, s.hostCache = leaving, nil
		}
	}
}

// limitedSteps returns the steps that limit missing tasks and have tasks on VMs of open waves, at
// most maxLimitedTasks tasks.
func (o *Owner) limitedSteps() (steps []LimitedStep) {
	if len(o.waveVMs.names) == 0 {
		return nil
	}
	at, n := map[*jobs.StepRun]int{}, 0
	for _, s := range o.sessionsByBoot() {
		if !o.waveVMs.names[s.vm] {
			continue
		}
		for _, r := range sortedByKey(s.attempts) {
			step := r.Task.Step
			if !step.Spec.LongRunning || !step.Spec.HasMaxUnavailable || r.Phase == jobs.PhaseStopped || n >= maxLimitedTasks {
				continue
			}
			i, known := at[step]
			if !known {
				i = len(steps)
				at[step] = i
				steps = append(steps, o.limitedStep(step))
			}
			steps[i].VMs = append(steps[i].VMs, s.vm)
			n++
		}
	}
	return steps
}

// limitedStep describes a step, without its VMs.
func (o *Owner) limitedStep(step *jobs.StepRun) LimitedStep {
	l := LimitedStep{Step: stepName(step), Places: step.Spec.MaxUnavailable, Restart: o.restarts.duration()}
	for _, t := range step.Tasks {
		if !o.serves(t) {
			l.Missing++
		}
	}
	return l
}

// stepName returns the name that the tasks of a step share.
func stepName(step *jobs.StepRun) string {
	name := step.Tasks[0].Name()
	return name[:strings.LastIndexByte(name, '.')]
}

// drainingVMs returns the VMs of open waves that are being drained, in the order in which they get
// free places.
func (o *Owner) drainingVMs(now time.Duration) (vms []string) {
	for _, s := range drainOrder(o.sessionsByBoot(), now) {
		if o.waveVMs.names[s.vm] && !slices.Contains(vms, s.vm) {
			vms = append(vms, s.vm)
		}
	}
	return vms
}

// restarts tracks the tasks that were stopped to be restarted at other workers.
type restarts struct {
	stopped map[*jobs.Task]time.Duration // when
	average time.Duration                // time from a stop until the task serves again, 0 if not known
}

// noteStop records the stop of a task.
func (r *restarts) noteStop(t *jobs.Task, now time.Duration) {
	if r.stopped == nil {
		r.stopped = map[*jobs.Task]time.Duration{}
	}
	r.stopped[t] = now
}

// forget drops a task whose stop was taken back.
func (r *restarts) forget(t *jobs.Task) { delete(r.stopped, t) }

// update observes the restarts that are over; serves reports whether a task serves.
func (r *restarts) update(now time.Duration, serves func(*jobs.Task) bool) {
	byStop := func(a, b *jobs.Task) int {
		return cmp.Or(cmp.Compare(r.stopped[a], r.stopped[b]), cmp.Compare(a.Name(), b.Name()))
	}
	for _, t := range slices.SortedFunc(maps.Keys(r.stopped), byStop) {
		at := r.stopped[t]
		switch {
		case t.Step.Job.State.Final(), now-at > maxRestartTime:
			delete(r.stopped, t)
		case serves(t):
			delete(r.stopped, t)
			if r.average == 0 {
				r.average = now - at
			}
			r.average += time.Duration(restartSmoothing * float64(now-at-r.average))
		}
	}
}

// duration returns how long a restart takes.
func (r *restarts) duration() time.Duration { return cmp.Or(r.average, defaultRestartTime) }
