package fleetops

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/allowance"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// trendAhead is how far ahead demand is foreseen: about what a move takes until the VM is at work.
	trendAhead = 2 * time.Second
	// trendWeight smooths the slope of demand over about a second.
	trendWeight = 0.25
)

// trend is how a pool's demand has changed of late.
type trend struct {
	at     time.Duration
	demand int
	slope  float64 // thousandths of a core a second, smoothed
}

// loads asks the owner of each shard how busy it is; pools whose owner does not answer are left out.
func (r *Runner) loads(ctx context.Context) map[string]shard.Load {
	r.mu.Lock()
	cat := r.catalog
	r.mu.Unlock()
	pools := cat.WorkingPools()
	grants := r.limits.Plan(pools, cat.LimitedAccounts())
	var mu sync.Mutex
	var wg sync.WaitGroup
	loads := map[string]shard.Load{}
	for _, pool := range pools {
		wg.Go(func() {
			l, ok := r.cfg.Load(ctx, pool, r.grantFor(pool, grants))
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			loads[pool] = l
		})
	}
	wg.Wait()
	for pool, l := range loads {
		r.limits.Take(pool, l.Accounts)
	}
	return loads
}

// grantFor returns the shares that a pool's shard is to get, nil for none.
func (r *Runner) grantFor(pool string, grants map[string]allowance.Grant) *allowance.Grant {
	g, ok := grants[pool]
	if !ok {
		return nil
	}
	if len(g.Shares) > 0 {
		r.log.Info().Str("event", "shares_granted").Str("shard", pool).Int64("seq", g.Seq).Int("accounts", len(g.Shares)).Send()
	}
	return &g
}

// rise is by how much a pool's demand will have grown when a VM that is moved now has arrived.
func (r *Runner) rise(pool string, demand int) int {
	now := r.now()
	t := r.trends[pool]
	if t.at > 0 && now > t.at {
		slope := float64(demand-t.demand) / (now - t.at).Seconds()
		t.slope += trendWeight * (slope - t.slope)
	}
	t.at, t.demand = now, demand
	r.trends[pool] = t
	return int(max(0, t.slope) * trendAhead.Seconds())
}

// poolStates gathers what sizing decides on.
func (r *Runner) poolStates(machines map[string]platform.Machine, loads map[string]shard.Load) (pools []*PoolState) {
	byName := r.loadedPools(machines, loads)
	leaving := r.countMoves(byName, machines)
	held := r.inWaves()
	r.countMachines(byName, machines, held)
	pools = slices.SortedFunc(maps.Values(byName), func(a, b *PoolState) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range pools {
		if s.Spare {
			slices.Sort(s.Idle)
		} else {
			s.Idle = r.idle(s, machines, held, leaving[s.Name])
		}
		s.Surely = r.countSurplus(s)
	}
	return pools
}

// loadedPools returns the pools whose load is known, and the spare one, with
// the workers that they have.
func (r *Runner) loadedPools(machines map[string]platform.Machine, loads map[string]shard.Load) map[string]*PoolState {
	pools := map[string]*PoolState{}
	for name, l := range loads {
		s := &PoolState{Name: name, Load: l, Supply: l.Workers}
		if s.Load.VMCapacity.CPU == 0 {
			s.Load.VMCapacity = capacityFor(name, machines)
		}
		s.Load.Waiting.CPU += r.rise(name, l.Used.CPU+l.Waiting.CPU)
		pools[name] = s
	}
	if spare := r.spare(); spare != "" {
		pools[spare] = &PoolState{Name: spare, Spare: true}
	}
	return pools
}

// capacityFor is what a VM has that would come into a pool none of whose workers
// can be used: as much as one of its own, or else as the largest there is. A pool
// that was held to want none got none for the rest of the day, one day in 80.
func capacityFor(pool string, machines map[string]platform.Machine) (c platform.Resources) {
	own := false
	for _, m := range machines {
		its := m.Pool == pool
		if its && !own || its == own && m.Capacity.CPU > c.CPU {
			c, own = m.Capacity, its
		}
	}
	return c
}

// countMoves adds the VMs on their way to the supply of pools, and returns how
// many are leaving each.
func (r *Runner) countMoves(pools map[string]*PoolState, machines map[string]platform.Machine) (leaving map[string]int) {
	leaving = map[string]int{}
	for vm, m := range r.moves {
		if s := pools[m.To]; s != nil && !r.cfg.ZoneOut(machines[vm].Zone) {
			s.Supply++
		}
		if machines[vm].Pool == m.From {
			leaving[m.From]++
		}
	}
	return leaving
}

// countMachines adds the VMs that will be at work soon without a move of ours to
// the supply of pools, and finds those of the spare pool that may be moved.
func (r *Runner) countMachines(pools map[string]*PoolState, machines map[string]platform.Machine, held map[string]Phase) {
	for vm, m := range machines {
		s := pools[m.Pool]
		if s == nil || m.State == platform.MachineDown || r.moves[vm] != nil || r.cfg.ZoneOut(m.Zone) {
			continue // nothing will start there
		}
		if m.State == platform.MachineMoving {
			s.Supply++ // by an order of a former holder
		}
		if held[vm] == PhaseOrdered {
			s.Supply++ // it is back in a moment
		}
		if s.Spare && m.State == platform.MachineUp && held[vm] == "" && r.mayOrderFor(vm) {
			s.Idle = append(s.Idle, vm)
		}
	}
}

// idle returns the VMs of a pool that may leave, those without any task first.
func (r *Runner) idle(s *PoolState, machines map[string]platform.Machine, held map[string]Phase, leaving int) (idle []string) {
	for _, vm := range s.Load.Light {
		m, ok := machines[vm]
		if !ok || m.Pool != s.Name || m.State != platform.MachineUp || r.moves[vm] != nil || held[vm] != "" || !r.mayOrderFor(vm) || r.cfg.ZoneOut(m.Zone) {
			continue
		}
		if leaving+len(idle) >= r.policy.mayLeave(s.Supply) {
			break
		}
		idle = append(idle, vm)
	}
	return idle
}

// countSurplus counts the steps in a row in which a pool had VMs left over.
func (r *Runner) countSurplus(s *PoolState) int {
	if s.Spare {
		return 0
	}
	if s.Supply > r.policy.Want(s.Load) {
		r.surplus[s.Name]++
	} else {
		r.surplus[s.Name] = 0
	}
	return r.surplus[s.Name]
}

// inWaves returns how far VMs are that must not be moved for the sake of a wave, by name: those
// that are being emptied or maintained, and those that wait while the wave's time is nearly over.
func (r *Runner) inWaves() map[string]Phase {
	held := map[string]Phase{}
	for _, w := range r.openWaves() {
		closing := w.closing(r.now() - w.begun)
		for _, v := range w.vms {
			switch {
			case v.Phase == PhaseEmptying, v.Phase == PhaseOrdered:
				held[v.Name] = v.Phase
			case v.Phase == PhaseWaiting && closing && held[v.Name] == "":
				held[v.Name] = v.Phase
			}
		}
	}
	return held
}
