package fleetops

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quota"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// forecastHorizon is about the time from planning a move until the VM runs tasks in its new
	// pool.
	forecastHorizon = 2 * time.Second
	// slopeSmoothing is the weight of the newest sample in the exponential average of the slope.
	slopeSmoothing = 0.25
)

// trend tracks how a pool's demand changes over time.
type trend struct {
	at     time.Duration // when demand was sampled
	demand int           // thousandths of a core, used and waiting
	slope  float64       // thousandths of a core per second, smoothed
}

// pollLoads sends quota grants to the owners of the pools' shards and collects their loads. Pools
// whose owner does not answer are left out.
func (r *Runner) pollLoads(ctx context.Context) map[string]shard.Load {
	r.mu.Lock()
	cat := r.catalog
	r.mu.Unlock()
	pools := cat.ActivePools()
	grants := r.quotas.Plan(pools, cat.LimitedAccounts())
	progress := r.unstoredProgress()
	ask := r.claim.Term > 1 && r.now()-r.tookOverAt < askProgressFor
	var mu sync.Mutex
	var wg sync.WaitGroup
	loads := map[string]shard.Load{}
	for _, pool := range pools {
		wg.Go(func() {
			reply, ok := r.cfg.Load(ctx, LoadQuery{Pool: pool, Grant: r.grantFor(pool, grants), WaveVMs: r.waveVMs[pool], Progress: progress, AskProgress: ask})
			if !ok {
				return
			}
			r.learned.Add(reply.Progress)
			mu.Lock()
			defer mu.Unlock()
			loads[pool] = reply.Load
		})
	}
	wg.Wait()
	for pool, l := range loads {
		r.quotas.HandleReport(pool, l.Accounts)
	}
	return loads
}

// grantFor returns the quota grant to send to a pool's shard, or nil.
func (r *Runner) grantFor(pool string, grants map[string]quota.Grant) *quota.Grant {
	g, ok := grants[pool]
	if !ok {
		return nil
	}
	if len(g.Shares) > 0 {
		r.log.Info().Str("event", "shares_granted").Str("shard", pool).Int64("seq", g.Seq).Int("accounts", len(g.Shares)).Send()
	}
	return &g
}

// updateTrend adds a sample to a pool's trend. It returns by how much the demand is expected to
// grow within forecastHorizon, in thousandths of a core.
func (r *Runner) updateTrend(pool string, demand int) int {
	now := r.now()
	t := r.trends[pool]
	if t.at > 0 && now > t.at {
		slope := float64(demand-t.demand) / (now - t.at).Seconds()
		t.slope += slopeSmoothing * (slope - t.slope)
	}
	t.at, t.demand = now, demand
	r.trends[pool] = t
	return int(max(0, t.slope) * forecastHorizon.Seconds())
}

// poolStates returns the input of PlanMoves.
func (r *Runner) poolStates(machines map[string]platform.Machine, loads map[string]shard.Load) (pools []*PoolState) {
	byName := r.loadedPools(machines, loads)
	leaving := r.countMoves(byName, machines)
	reserved := r.reservedByWaves()
	r.countMachines(byName, machines, reserved)
	pools = slices.SortedFunc(maps.Values(byName), func(a, b *PoolState) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range pools {
		if s.Spare {
			slices.Sort(s.Movable)
		} else {
			most := r.policy.maxDraining(s.Supply) - leaving[s.Name]
			s.Movable = r.movableVMs(s, s.Load.Light, machines, reserved, most)
			s.Ending = r.movableVMs(s, endingSoon(s.Load.Ending), machines, reserved, most-len(s.Movable))
		}
		s.SurplusSteps = r.updateSurplus(s)
	}
	return pools
}

// loadedPools returns the state of the pools whose load is known, with their workers as supply, and
// of the spare pool.
func (r *Runner) loadedPools(machines map[string]platform.Machine, loads map[string]shard.Load) map[string]*PoolState {
	pools := map[string]*PoolState{}
	for name, l := range loads {
		s := &PoolState{Name: name, Load: l, Supply: l.Workers}
		if s.Load.VMCapacity.CPU == 0 {
			s.Load.VMCapacity = largestCapacity(name, machines)
		}
		growth := r.updateTrend(name, l.Used.CPU+l.Waiting.CPU)
		s.Load.Waiting.CPU += growth
		s.Load.Held = grown(l.Held, growth)
		pools[name] = s
	}
	if spare := r.sparePool(); spare != "" {
		pools[spare] = &PoolState{Name: spare, Spare: true}
	}
	return pools
}

// grown returns a pool's demand after it has grown by some CPU, made up as before.
func grown(d shard.Demand, cpu int) shard.Demand {
	total := d.Guaranteed.CPU + d.Excess.CPU + d.Late.CPU
	if total == 0 {
		return d
	}
	factor := 1 + float64(cpu)/float64(total)
	for _, part := range []*int{&d.Guaranteed.CPU, &d.Excess.CPU, &d.Late.CPU} {
		*part = int(float64(*part) * factor)
	}
	return d
}

// largestCapacity returns the capacity of the pool's largest VM, or else of the largest VM in the
// fleet. It stands in for that of a pool without usable workers, which would never get a VM
// otherwise.
func largestCapacity(pool string, machines map[string]platform.Machine) (c platform.Resources) {
	own := false
	for _, m := range machines {
		inPool := m.Pool == pool
		if inPool && !own || inPool == own && m.Capacity.CPU > c.CPU {
			c, own = m.Capacity, inPool
		}
	}
	return c
}

// countMoves adds the VMs of this holder's moves to the supply of their new pools. It returns the
// number of VMs leaving each pool.
func (r *Runner) countMoves(pools map[string]*PoolState, machines map[string]platform.Machine) (leaving map[string]int) {
	leaving = map[string]int{}
	for vm, m := range r.moves {
		if s := pools[m.To]; s != nil && !r.cfg.ZoneEvacuated(machines[vm].Zone) {
			s.Supply++
		}
		if machines[vm].Pool == m.From {
			leaving[m.From]++
		}
	}
	return leaving
}

// countMachines adds the VMs that will soon run tasks without a move by this holder to the supply
// of their pools, and lists the movable VMs of the spare pool.
func (r *Runner) countMachines(pools map[string]*PoolState, machines map[string]platform.Machine, reserved map[string]Phase) {
	for vm, m := range machines {
		s := pools[m.Pool]
		if s == nil || m.State == platform.MachineDown || r.moves[vm] != nil || r.cfg.ZoneEvacuated(m.Zone) {
			continue // no task can start there
		}
		if m.State == platform.MachineMoving {
			s.Supply++ // ordered by a former holder
		}
		if reserved[vm] == PhaseOrdered {
			s.Supply++ // back up shortly
		}
		if s.Spare && m.State == platform.MachineUp && reserved[vm] == "" && r.mayOrderFor(vm) {
			s.Movable = append(s.Movable, vm)
		}
	}
}

// endingSoon returns the VMs whose tasks are expected to end well before a drain times out.
func endingSoon(vms []shard.EndingVM) (names []string) {
	for _, v := range vms {
		if time.Duration(v.LeftMs)*time.Millisecond <= maxDrainWait {
			names = append(names, v.VM)
		}
	}
	return names
}

// movableVMs returns those of the given VMs that may leave a pool now, at most most of them.
func (r *Runner) movableVMs(s *PoolState, vms []string, machines map[string]platform.Machine, reserved map[string]Phase, most int) (movable []string) {
	for _, vm := range vms {
		m, ok := machines[vm]
		if !ok || m.Pool != s.Name || m.State != platform.MachineUp || r.moves[vm] != nil || reserved[vm] != "" || !r.mayOrderFor(vm) || r.cfg.ZoneEvacuated(m.Zone) {
			continue
		}
		if len(movable) >= most {
			break
		}
		movable = append(movable, vm)
	}
	return movable
}

// updateSurplus counts this step if the pool has more VMs than its target size. It returns the
// number of consecutive steps in which that was so.
func (r *Runner) updateSurplus(s *PoolState) int {
	if s.Spare {
		return 0
	}
	if s.Supply > r.policy.TargetSize(s.Load) {
		r.surplus[s.Name]++
	} else {
		r.surplus[s.Name] = 0
	}
	return r.surplus[s.Name]
}

// reservedByWaves returns the phase of each VM that must not be moved because of a wave: those
// being drained or maintained, and those still waiting shortly before the wave's deadline.
func (r *Runner) reservedByWaves() map[string]Phase {
	reserved := map[string]Phase{}
	for _, w := range r.openWaves() {
		nearDeadline := w.nearDeadline(r.now() - w.startedAt)
		for _, v := range w.vms {
			switch {
			case v.Phase == PhaseDraining, v.Phase == PhaseOrdered:
				reserved[v.Name] = v.Phase
			case v.Phase == PhaseWaiting && nearDeadline && reserved[v.Name] == "":
				reserved[v.Name] = v.Phase
			}
		}
	}
	return reserved
}
