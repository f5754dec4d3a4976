package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/allowance"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// loadLogInterval is the time between two lines about a shard's load.
const loadLogInterval = time.Second

// maxLightShare is the part of its processors that a VM may have in use and still count as light.
const maxLightShare = 0.15

// maxUnansweredCalls is how many looks in a row a worker may leave unanswered and still count.
const maxUnansweredCalls = 2

// ZoneLoad is what a zone has that is out of use.
type ZoneLoad struct {
	Workers int
	Tasks   int // that run there still
}

// maxSlowVMs bounds the VMs that Load.Tight names: only the next to be maintained matter.
const maxSlowVMs = 8

// Load is how busy a shard's workers are.
type Load struct {
	Workers  int                // that may get tasks, or will within a moment
	Capacity platform.Resources // of those
	Used     platform.Resources // by tasks there
	Waiting  platform.Resources // of tasks that could start at once if there were room
	Tasks    int                // that wait so
	Arriving platform.Resources // that jobs hold on average if they go on to arrive as of late
	// VMCapacity is what one of the workers has when it is whole: the largest of them.
	VMCapacity platform.Resources
	// Floor is how many workers the long-running tasks need at least.
	Floor int
	// AtLimit tells that the owner cannot start tasks faster, however many workers it has.
	AtLimit bool
	// Light names the VMs without long-running tasks and with little work, the emptiest first.
	Light []string
	// Tight names the VMs whose tasks are slowest to move away, since few of their step may be
	// missing at a time: those with most of them first, tightVMs at the most.
	Tight []string
	// ZonesOut tells of the workers in zones that are out of use, which count for nothing else above
	// but Used, by zone.
	ZonesOut map[string]ZoneLoad
	// Accounts is what client accounts hold and want of their limits.
	Accounts allowance.Report
}

// Load sums the shard's workers and waiting tasks up, with full those of all accounts;
// ok is false while they are not wholly known.
func (o *Owner) Load(full bool) (l Load, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if o.closed || !o.confirmed(now) {
		return l, false
	}
	l = o.load(now)
	l.Accounts = o.reportAccounts(full)
	return l, true
}

func (o *Owner) load(now time.Duration) (l Load) {
	used, limited := map[string]int{}, map[string]int{}
	for _, s := range o.sessions {
		if !s.serviceable(now) {
			continue
		}
		// What is ordered is whole; a VM whose room has shrunk tells nothing of it.
		if s.info.Capacity.CPU > l.VMCapacity.CPU {
			l.VMCapacity = s.info.Capacity
		}
		if s.outOfUse() {
			// What runs there is demand all the same: what follows it starts elsewhere.
			l.noteZoneOut(s)
		} else {
			l.Workers++
			l.Capacity = l.Capacity.Add(s.info.Capacity)
		}
		lasting, cpu := false, 0
		for _, a := range s.attempts {
			charge := placement.Charge(a.Task.Step.Spec)
			l.Used = l.Used.Add(charge)
			cpu += charge.CPU
			lasting = lasting || a.Task.Step.Spec.LongRunning
			if a.Task.Step.Spec.LongRunning && a.Task.Step.Spec.Limited {
				limited[s.vm]++
			}
		}
		if !lasting && s.trial == nil && float64(cpu) <= maxLightShare*float64(s.info.Capacity.CPU) {
			used[s.vm] = cpu
			l.Light = append(l.Light, s.vm)
		}
	}
	l.Tight = slowestVMs(limited)
	slices.SortFunc(l.Light, func(a, b string) int { return cmp.Or(cmp.Compare(used[a], used[b]), cmp.Compare(a, b)) })
	l.Floor = o.minWorkers()
	l.AtLimit = o.rate.AtLimit()
	l.Arriving = o.arrivals.demand(now)
	demand := o.newDemand()
	o.eachStartable(true, func(s *jobs.StepRun, idle []*jobs.Task) {
		l.Tasks += len(idle)
		n := demand.startable(s, len(idle))
		charge := placement.Charge(s.Spec)
		l.Waiting = l.Waiting.Add(platform.Resources{CPU: n * charge.CPU, MemoryMB: n * charge.MemoryMB, GPU: n * charge.GPU})
	})
	return l
}

// noteZoneOut counts a worker in a zone that is out of use.
func (l *Load) noteZoneOut(s *session) {
	if l.ZonesOut == nil {
		l.ZonesOut = map[string]ZoneLoad{}
	}
	z := l.ZonesOut[s.info.Zone]
	z.Workers++
	z.Tasks += len(s.attempts)
	l.ZonesOut[s.info.Zone] = z
}

// slowestVMs returns the VMs with most limited tasks, by their number.
func slowestVMs(limited map[string]int) []string {
	vms := slices.SortedFunc(maps.Keys(limited), func(a, b string) int { return cmp.Or(cmp.Compare(limited[b], limited[a]), cmp.Compare(a, b)) })
	return vms[:min(len(vms), maxSlowVMs)]
}

// minWorkers is how many workers the long-running tasks need, one more to restart
// tasks of a worker that is lost, and two at the least.
func (o *Owner) minWorkers() int {
	widest := 1
	for _, j := range o.book.Active() {
		for _, s := range j.Steps {
			if s.Spec.LongRunning && s.Spec.MaxPerWorker > 0 {
				widest = max(widest, (len(s.Tasks)+s.Spec.MaxPerWorker-1)/s.Spec.MaxPerWorker)
			}
		}
	}
	return widest + 1
}

// serviceable tells whether a worker counts for the size of the pool: it is
// usable but for what passes within a moment.
func (s *session) serviceable(now time.Duration) bool {
	return s.listed && !s.draining && !s.ended && s.unansweredCalls < maxUnansweredCalls && now >= s.cordonedUntil
}

// logLoad writes the load to the log from time to time; the lock is held.
func (o *Owner) logLoad(now time.Duration) {
	if now-o.loadLoggedAt < loadLogInterval {
		return
	}
	o.loadLoggedAt = now
	l := o.load(now)
	running := 0
	for _, j := range o.book.Active() {
		if j.State == jobs.StateRunning {
			running++
		}
	}
	o.log.Info().Str("event", "shard_load").Int("workers", l.Workers).Int("cpu", l.Capacity.CPU).Int("cpu_used", l.Used.CPU).
		Int("cpu_waiting", l.Waiting.CPU).Int("cpu_arriving", l.Arriving.CPU).Int("memory_mb", l.Capacity.MemoryMB).Int("memory_used", l.Used.MemoryMB).
		Int("tasks_waiting", l.Tasks).Int("jobs", len(o.book.Active())).Int("jobs_running", running).Bool("at_limit", l.AtLimit).Send()
}
