package fleetops

import (
	"cmp"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// maxPoolShare is the fraction of a pool's VMs that a wave may drain or take down at once, so that
// the others have capacity for the tasks.
const maxPoolShare = 0.3

// minConcurrent is the number of VMs of a small pool that may be drained or down at once
// regardless of maxPoolShare.
const minConcurrent = 2

// maxListLag is how long a change of a VM's state may take to appear in the VM list.
const maxListLag = 1500 * time.Millisecond

// maintenanceRound is about how long draining and maintaining a busy VM takes.
const maintenanceRound = 5 * time.Second

// Wave is a request to maintain VMs.
type Wave struct {
	ID      int
	VMs     []string
	Within  time.Duration // time allowed, from the request on
	MaxDown int           // VMs of the wave that may be down at once
	Request platform.Row  // key and version of the row that holds the request, which its operator may edit
}

// asksSame reports whether two requests of a wave ask for the same.
func (w *Wave) asksSame(other Wave) bool {
	return w.Within == other.Within && w.MaxDown == other.MaxDown && slices.Equal(w.VMs, other.VMs)
}

// Phase is the state of one VM's maintenance.
type Phase string

// The phases of a VM's maintenance.
const (
	PhaseWaiting  Phase = "waiting"
	PhaseDraining Phase = "emptying" // its shard's owner drains it
	PhaseOrdered  Phase = "ordered"  // down, or the order was not answered
	PhaseDone     Phase = "done"     // up again after its maintenance
	PhaseGone     Phase = "gone"     // the VM no longer exists
)

// VM is one VM of a wave.
type VM struct {
	Name   string
	Phase  Phase
	Worker string // ID of the worker before maintenance, set once ordered

	accepted   bool          // the VM service accepted the order
	acceptedAt time.Duration // when it had at the latest; negative if before the start of the entry's clock
	unseen     bool          // this holder's order was accepted, and the VM list has not shown the VM down since
}

// over reports whether nothing is left to do for the VM.
func (v *VM) over() bool { return v.Phase == PhaseDone || v.Phase == PhaseGone }

// accept records that the VM service had accepted the order for the VM by a time.
func (v *VM) accept(by time.Duration) { v.accepted, v.acceptedAt = true, by }

// returned reports whether the VM is up again after its maintenance. A spare VM runs no worker and
// so shows no new worker ID; it counts as returned once the maintenance must be over. Another worker that the
// list shows earlier than that, and before it has shown the VM down, was there before the order.
func (v *VM) returned(m platform.Machine, now, takes time.Duration) bool {
	if m.State != platform.MachineUp {
		return false
	}
	if m.Worker != v.Worker {
		return !v.unseen || now-v.acceptedAt > max(takes, maxListLag)
	}
	return v.accepted && now-v.acceptedAt > takes+maxListLag
}

// urgent reports whether busy VMs have to be drained for the wave to end in time: half of its time
// is over, or the maintenance of all VMs would take at least half of the time left.
func (w *Wave) urgent(vms int, elapsed time.Duration) bool {
	rounds := (vms + max(w.MaxDown, 1) - 1) / max(w.MaxDown, 1)
	needs := time.Duration(rounds) * maintenanceRound
	return elapsed >= w.Within/2 || elapsed+2*needs >= w.Within
}

// nearDeadline reports whether a VM that is moved now would be maintained after the deadline.
func (w *Wave) nearDeadline(elapsed time.Duration) bool { return elapsed+maintenanceRound >= w.Within }

// How much the maintenance of a VM disrupts running tasks.
const (
	disruptionNone = iota
	disruptionLow
	disruptionHigh
)

func disruption(m platform.Machine, spare string, light map[string]bool) int {
	switch {
	case m.Pool == spare:
		return disruptionNone
	case light[m.VM]:
		return disruptionLow
	default:
		return disruptionHigh
	}
}

// View is the fleet state by which SelectVMs chooses.
type View struct {
	Machines        map[string]platform.Machine // by name
	Spare           string                      // pool of spare VMs, which are listed as up though no worker runs there
	Light           map[string]bool             // VMs with little work
	SlowToDrain     map[string]bool             // VMs that take longest to drain, from shard.Load.Tight
	RecentlyOrdered map[string]bool             // VMs whose orders must wait, since a former holder may have sent one recently
	MaybeDone       map[string]bool             // VMs that may be done already, by an order of a former holder or an unanswered one of this holder
	Limited         []shard.LimitedStep         // steps that limit missing tasks, of all pools
	Draining        []string                    // VMs that the pools' owners drain, in the order in which they get free places
	InOtherWave     map[string]bool             // VMs that another wave drains or maintains
	Elapsed         time.Duration               // time since the wave started
}

// waveCounts counts VMs for the limits on a wave.
type waveCounts struct {
	active       int            // VMs of the wave that are being drained or down, without those whose tasks wait for places of their steps
	activeInPool map[string]int // the same by pool
	slowDrains   map[string]int // VMs being drained that take longest, by pool
	waiting      map[string]int // VMs of the wave that wait, by pool
	poolSize     map[string]int // all VMs, by pool
}

func countVMs(vms []*VM, view View, p *WavePlan) waveCounts {
	counts := waveCounts{activeInPool: map[string]int{}, slowDrains: map[string]int{}, waiting: map[string]int{}, poolSize: map[string]int{}}
	for _, m := range view.Machines {
		counts.poolSize[m.Pool]++
	}
	for _, v := range vms {
		m := view.Machines[v.Name]
		switch v.Phase {
		case PhaseDraining, PhaseOrdered:
			if v.Phase == PhaseOrdered || !p.hasLimitedTasks(v.Name) {
				counts.active++
				counts.activeInPool[m.Pool]++
			}
			if v.Phase == PhaseDraining && view.SlowToDrain[v.Name] {
				counts.slowDrains[m.Pool]++
			}
		case PhaseWaiting:
			counts.waiting[m.Pool]++
			if maybeDown(view, v.Name) {
				counts.active++
				counts.activeInPool[m.Pool]++
			}
		}
	}
	return counts
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// WaitReason is why a VM of a wave is not drained yet.
type WaitReason string

// Values of WaitReason.
const (
	WaitNone      WaitReason = ""
	WaitNotUp     WaitReason = "not_up"     // it is down or moving
	WaitOrderGap  WaitReason = "order_gap"  // a former holder may just have ordered it
	WaitOtherWave WaitReason = "other_wave" // another wave drains or maintains it
	WaitMaybeDone WaitReason = "maybe_done" // it may be done already, and others wait
	WaitNotUrgent WaitReason = "not_urgent" // it is busy and the wave has time
	WaitMaxDown   WaitReason = "max_down"   // as many VMs of the wave are drained or down as may be
	WaitPool      WaitReason = "pool"       // the same of its pool
	WaitPlaces    WaitReason = "places"     // VMs that are drained use the places of its tasks' steps
)

// selection is the choice of the VMs of a wave to drain next.
type selection struct {
	wave   Wave
	view   View
	plan   WavePlan
	counts waveCounts
	urgent bool
}

// SelectVMs returns the VMs of a wave to drain next, within the wave's limit and the share of each
// pool, and what the others wait for. Spare VMs go first, then VMs with little work, and busy VMs only
// when the wave is urgent or the plan says so. A VM whose tasks wait for places of their steps is
// drained only if it uses one that would stay unused, and then takes no place of its pool or the wave.
// One VM per pool among those that take longest to drain starts right away, since it may need the whole
// wave.
func SelectVMs(w Wave, vms []*VM, view View) (next []*VM, waits map[WaitReason]int) {
	s := selection{wave: w, view: view, plan: PlanWave(w, vms, view), urgent: w.urgent(len(vms), view.Elapsed)}
	s.counts = countVMs(vms, view, &s.plan)
	waits = map[WaitReason]int{}
	for _, v := range waitingInOrder(vms, view, &s.plan, s.counts) {
		if reason := s.waitReason(v); reason != WaitNone {
			waits[reason]++
			continue
		}
		s.begin(v)
		next = append(next, v)
	}
	return next, waits
}

// waitReason returns why a VM is not drained now.
func (s *selection) waitReason(v *VM) WaitReason {
	m, ok := s.view.Machines[v.Name]
	left := s.wave.Within - s.view.Elapsed
	busy := disruption(m, s.view.Spare, s.view.Light) == disruptionHigh
	switch {
	case !ok || m.State != platform.MachineUp:
		return WaitNotUp
	case s.view.RecentlyOrdered[v.Name]:
		return WaitOrderGap
	case s.view.InOtherWave[v.Name]:
		return WaitOtherWave
	case busy && s.view.MaybeDone[v.Name] && !s.plan.mustRepeat(v, left):
		return WaitMaybeDone
	case busy && !s.urgent && !s.plan.mustBegin(v.Name, left) && !s.firstSlowDrain(m):
		return WaitNotUrgent
	case s.plan.hasLimitedTasks(v.Name):
		if s.plan.hasPlace(v.Name) {
			return WaitNone
		}
		return WaitPlaces
	case s.counts.active >= s.wave.MaxDown:
		return WaitMaxDown
	case m.Pool != s.view.Spare && s.counts.activeInPool[m.Pool] >= maxActive(s.counts.poolSize[m.Pool]):
		return WaitPool
	default:
		return WaitNone
	}
}

// firstSlowDrain reports whether a VM is among those of its pool that take longest to drain, and none of
// these is being drained.
func (s *selection) firstSlowDrain(m platform.Machine) bool {
	return s.view.SlowToDrain[m.VM] && s.counts.slowDrains[m.Pool] == 0
}

// begin counts a VM as being drained.
func (s *selection) begin(v *VM) {
	m := s.view.Machines[v.Name]
	if !s.plan.hasLimitedTasks(v.Name) {
		s.counts.active++
		s.counts.activeInPool[m.Pool]++
	}
	s.plan.begin(v.Name)
	if s.view.SlowToDrain[v.Name] {
		s.counts.slowDrains[m.Pool]++
	}
}

// waitingInOrder returns the VMs that wait, in the order in which they are to be drained.
func waitingInOrder(vms []*VM, view View, p *WavePlan, counts waveCounts) []*VM {
	machines := view.Machines
	drained := map[string]bool{}
	for _, vm := range view.Draining {
		drained[vm] = true
	}
	waiting := slices.DeleteFunc(slices.Clone(vms), func(v *VM) bool { return v.Phase != PhaseWaiting })
	slices.SortStableFunc(waiting, func(a, b *VM) int {
		return cmp.Or(
			cmp.Compare(disruption(machines[a.Name], view.Spare, view.Light), disruption(machines[b.Name], view.Spare, view.Light)),
			compareBools(view.MaybeDone[a.Name], view.MaybeDone[b.Name]),
			compareBools(!drained[a.Name], !drained[b.Name]), // a former holder began them
			cmp.Compare(p.leads[b.Name], p.leads[a.Name]),
			compareBools(!view.SlowToDrain[a.Name], !view.SlowToDrain[b.Name]),
			cmp.Compare(counts.waiting[machines[b.Name].Pool], counts.waiting[machines[a.Name].Pool]),
		)
	})
	return waiting
}
