package shard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// maxEndingVMs bounds Load.Ending; it exceeds the number of VMs that a pool gives up in one step.
const maxEndingVMs = 128

// Demand divides what the tasks of a pool need by the order in which it is to be served.
type Demand struct {
	// Guaranteed is needed by jobs that can be in time and are within the guaranteed rate of their
	// account, and by long-running tasks.
	Guaranteed platform.Resources `msgpack:"g"`
	// Excess is needed by jobs that can be in time but exceed that rate.
	Excess platform.Resources `msgpack:"e"`
	// Late is needed by jobs that will be late.
	Late platform.Resources `msgpack:"l"`
}

// EndingVM is a VM without long-running tasks.
type EndingVM struct {
	VM     string `msgpack:"v"`
	LeftMs int    `msgpack:"m"` // longest expected remaining time of its tasks, in milliseconds
}

// demandKind is the part of [Demand] that a step counts toward.
type demandKind string

const (
	demandGuaranteed demandKind = "guaranteed"
	demandExcess     demandKind = "excess"
	demandLate       demandKind = "late"
)

// add adds resources to one kind of demand.
func (d *Demand) add(kind demandKind, r platform.Resources) {
	switch kind {
	case demandGuaranteed:
		d.Guaranteed = d.Guaranteed.Add(r)
	case demandExcess:
		d.Excess = d.Excess.Add(r)
	case demandLate:
		d.Late = d.Late.Add(r)
	}
}

// demandKinds classifies steps at one time.
type demandKinds struct {
	owner     *Owner
	now       time.Duration
	remaining map[*jobs.Job]time.Duration // remainingPath
	known     map[*jobs.StepRun]demandKind
}

func (o *Owner) newDemandKinds(now time.Duration) *demandKinds {
	return &demandKinds{owner: o, now: now, remaining: map[*jobs.Job]time.Duration{}, known: map[*jobs.StepRun]demandKind{}}
}

// of returns the kind of demand of a step, as placement orders it.
func (k *demandKinds) of(s *jobs.StepRun) demandKind {
	if s.Spec.LongRunning {
		return demandGuaranteed
	}
	kind, ok := k.known[s]
	if !ok {
		kind = k.classify(s)
		k.known[s] = kind
	}
	return kind
}

func (k *demandKinds) classify(s *jobs.StepRun) demandKind {
	remaining, ok := k.remaining[s.Job]
	if !ok {
		remaining = k.owner.remainingPath(s.Job, k.now)
		k.remaining[s.Job] = remaining
	}
	c := k.owner.candidate(s, nil, remaining, k.now)
	switch {
	case c.Late(k.now):
		return demandLate
	case c.Excess:
		return demandExcess
	default:
		return demandGuaranteed
	}
}

// remainingTime returns how long a task that is not long-running is expected to run on. One that has
// overrun is expected to overrun by as much again.
func (o *Owner) remainingTime(a *workerAttempt, now time.Duration) time.Duration {
	since := a.startConfirmedAt
	if since == 0 {
		since = a.OrderedAt
	}
	step := a.Task.Step
	left := o.durations[step.Job.Queue].expected(step.Spec.Estimate) - (now - since)
	return max(left, -left)
}

// soonestEnding sorts VMs by when they will be empty and returns the first ones.
func soonestEnding(vms []EndingVM) []EndingVM {
	slices.SortFunc(vms, func(a, b EndingVM) int { return cmp.Or(cmp.Compare(a.LeftMs, b.LeftMs), cmp.Compare(a.VM, b.VM)) })
	return vms[:min(len(vms), maxEndingVMs)]
}

// multiply returns what n tasks need.
func multiply(r platform.Resources, n int) platform.Resources {
	return platform.Resources{CPU: n * r.CPU, MemoryMB: n * r.MemoryMB, GPU: n * r.GPU}
}

// milliseconds rounds up, so that a task that is not over has time left.
func milliseconds(d time.Duration) int { return int(math.Ceil(float64(d) / float64(time.Millisecond))) }
