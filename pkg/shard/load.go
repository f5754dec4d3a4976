package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quota"
)

// loadLogInterval is the time between two log lines about a shard's load.
const loadLogInterval = time.Second

// maxLightShare is the largest share of its processors that a VM in Load.Light has in use.
const maxLightShare = 0.15

// maxUnansweredCalls is the number of consecutive unanswered calls from which a worker no longer
// counts toward the capacity.
const maxUnansweredCalls = 2

// ZoneLoad counts the workers and tasks in a zone that is out of use.
type ZoneLoad struct {
	Workers int
	Tasks   int // still running there
}

// maxSlowVMs bounds Load.Tight; only the next VMs to be maintained matter.
const maxSlowVMs = 8

// Load describes how busy a shard's workers are. Entries exchange it encoded by field names.
type Load struct {
	Workers  int                // that accept tasks or soon will
	Capacity platform.Resources // of those workers
	Used     platform.Resources // by tasks there
	Waiting  platform.Resources // needed by tasks that could start now if there were room
	Tasks    int                // that wait to start
	Arriving platform.Resources // resources that jobs will hold on average at the recent arrival rate
	// Held divides Used and Waiting by how urgent they are; zero in answers of earlier versions.
	Held Demand
	// ArrivingExcess is the part of Arriving that exceeds the guaranteed rates of accounts.
	ArrivingExcess platform.Resources
	// VMCapacity is the largest capacity of a worker, taken as that of an undisturbed VM.
	VMCapacity platform.Resources
	// Floor is the least number of workers that the long-running tasks need, those included that wait
	// for room or have to leave their worker.
	Floor int
	// AtLimit reports that the owner's CPU or network link is saturated, so that more workers don't help.
	AtLimit bool
	// Light names the VMs without long-running tasks and with little work, the least busy first and of
	// those the cold ones.
	Light []string
	// Ending lists the VMs without long-running tasks that are not in Light, those that will be empty
	// soonest first, at most maxEndingVMs.
	Ending []EndingVM
	// Tight names the VMs that take longest to empty because few tasks of their steps may be
	// missing at a time: those with most such tasks first, at most maxSlowVMs.
	Tight []string
	// Limited lists the steps of tasks on VMs of open waves that limit missing tasks, and Draining
	// the VMs of those waves that are being drained.
	Limited  []LimitedStep
	Draining []string
	// ZonesOut counts the workers in zones that are out of use, by zone. Workers and Capacity
	// exclude them; Used includes their tasks.
	ZonesOut map[string]ZoneLoad
	// Accounts reports what client accounts use and request of their limits.
	Accounts quota.Report
}

// Load returns the shard's load, with full including the use of all accounts; ok is false if
// this entry is not certainly the owner.
func (o *Owner) Load(full bool) (l Load, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if o.closed || !o.ownershipConfirmed(now) {
		return l, false
	}
	l = o.load(now)
	l.Accounts = o.reportAccounts(full)
	return l, true
}

func (o *Owner) load(now time.Duration) Load {
	b := loadBuilder{
		owner: o, now: now, kinds: o.newDemandKinds(now),
		limited: map[string]int{}, cpu: map[string]int{}, cold: map[string]bool{},
	}
	for _, s := range o.sessions {
		if s.serviceable(now) {
			b.addWorker(s)
		}
	}
	b.orderVMs()
	b.Limited, b.Draining = o.limitedSteps(), o.drainingVMs(now)
	b.AtLimit = o.rate.Limiting()
	b.Arriving, b.ArrivingExcess = o.arrivals.demand(now)
	unplaced := o.leavingTasks(now)
	b.addWaiting(&unplaced)
	b.Floor = max(o.minWorkers(), b.inUse+o.workersFor(unplaced, b.VMCapacity, now))
	return b.Load
}

// loadBuilder collects the load of a shard.
type loadBuilder struct {
	Load
	owner *Owner
	now   time.Duration
	kinds *demandKinds

	inUse   int             // workers with long-running tasks
	limited map[string]int  // tasks whose steps limit missing ones, by VM
	cpu     map[string]int  // in use on the VMs in Light
	cold    map[string]bool // VMs in Light that are slow for now
}

// addWorker adds a worker and its tasks.
func (b *loadBuilder) addWorker(s *session) {
	// A VM may have shrunk; new ones have the full capacity.
	if s.info.Capacity.CPU > b.VMCapacity.CPU {
		b.VMCapacity = s.info.Capacity
	}
	if s.outOfUse() {
		// Tasks there still count as demand, since they are restarted elsewhere.
		b.noteEvacuatedZone(s)
	} else {
		b.Workers++
		b.Capacity = b.Capacity.Add(s.info.Capacity)
	}
	longRunning, cpu, left := false, 0, time.Duration(0)
	for _, a := range s.attempts {
		spec := a.Task.Step.Spec
		charge := placement.Charge(spec)
		b.Used = b.Used.Add(charge)
		b.Held.add(b.kinds.of(a.Task.Step), charge)
		cpu += charge.CPU
		longRunning = longRunning || spec.LongRunning
		left = max(left, b.owner.remainingTime(a, b.now))
		if spec.LongRunning && spec.HasMaxUnavailable {
			b.limited[s.vm]++
		}
	}
	if longRunning && !s.outOfUse() {
		b.inUse++
	}
	switch {
	case longRunning || s.trial != nil:
	case float64(cpu) <= maxLightShare*float64(s.info.Capacity.CPU):
		b.cpu[s.vm], b.cold[s.vm] = cpu, s.cold.contains(b.now)
		b.Light = append(b.Light, s.vm)
	case !s.outOfUse():
		b.Ending = append(b.Ending, EndingVM{VM: s.vm, LeftMs: milliseconds(left)})
	}
}

// orderVMs orders and bounds the lists of VMs.
func (b *loadBuilder) orderVMs() {
	b.Tight = slowestVMs(b.limited)
	b.Ending = soonestEnding(b.Ending)
	slices.SortFunc(b.Light, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.cpu[x], b.cpu[y]), trueFirst(b.cold[x], b.cold[y]), cmp.Compare(x, y))
	})
}

// addWaiting adds the tasks that wait to start; the long-running ones among them need room.
func (b *loadBuilder) addWaiting(unplaced *unplacedTasks) {
	demand := b.owner.newDemand()
	b.owner.eachStartable(true, func(s *jobs.StepRun, startable []*jobs.Task) {
		b.Tasks += len(startable)
		n := demand.startable(s, len(startable))
		unplaced.add(s, n)
		waiting := multiply(placement.Charge(s.Spec), n)
		b.Waiting = b.Waiting.Add(waiting)
		b.Held.add(b.kinds.of(s), waiting)
	})
}

// trueFirst compares two flags; true comes first.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// noteEvacuatedZone counts a worker in a zone that is out of use.
func (l *Load) noteEvacuatedZone(s *session) {
	if l.ZonesOut == nil {
		l.ZonesOut = map[string]ZoneLoad{}
	}
	z := l.ZonesOut[s.info.Zone]
	z.Workers++
	z.Tasks += len(s.attempts)
	l.ZonesOut[s.info.Zone] = z
}

// slowestVMs returns the VMs with most limited tasks.
func slowestVMs(limited map[string]int) []string {
	vms := slices.SortedFunc(maps.Keys(limited), func(a, b string) int { return cmp.Or(cmp.Compare(limited[b], limited[a]), cmp.Compare(a, b)) })
	return vms[:min(len(vms), maxSlowVMs)]
}

// serviceable reports whether a worker counts toward the pool's capacity; brief obstacles to
// new tasks are ignored.
func (s *session) serviceable(now time.Duration) bool {
	return s.listed && !s.draining && !s.ended && s.unansweredCalls < maxUnansweredCalls && now >= s.cordonedUntil
}

// logLoad logs the load once per loadLogInterval; the caller holds the lock.
func (o *Owner) logLoad(now time.Duration) {
	if now-o.loadLoggedAt < loadLogInterval {
		return
	}
	o.loadLoggedAt = now
	l := o.load(now)
	running := 0
	for _, j := range o.registry.Active() {
		if j.State == jobs.StateRunning {
			running++
		}
	}
	o.log.Info().Str("event", "shard_load").Int("workers", l.Workers).Int("cpu", l.Capacity.CPU).Int("cpu_used", l.Used.CPU).
		Int("cpu_waiting", l.Waiting.CPU).Int("cpu_arriving", l.Arriving.CPU).Int("jobs_refused", len(o.arrivals.refused)).
		Int("cpu_excess", l.Held.Excess.CPU).Int("cpu_late", l.Held.Late.CPU).Int("cpu_arriving_excess", l.ArrivingExcess.CPU).Int("memory_mb", l.Capacity.MemoryMB).Int("memory_used", l.Used.MemoryMB).
		Int("tasks_waiting", l.Tasks).Int("jobs", len(o.registry.Active())).Int("jobs_running", running).Bool("at_limit", l.AtLimit).
		Int64("passes", o.placement.passes-o.passesLogged.passes).Dur("passes_took", o.placement.took-o.passesLogged.took).Send()
	o.passesLogged = o.placement
}
