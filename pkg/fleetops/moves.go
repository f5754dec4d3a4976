package fleetops

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// moveGiveUp is how long a VM may take to become empty before its move is given up.
	moveGiveUp = 3 * time.Second
	// moveSettles is how long after its order a VM may take to come up in its new pool.
	moveSettles = 8 * time.Second
	// moveKnown is how long a VM that is up in its new pool may take until the pool's
	// owner counts it.
	moveKnown = 600 * time.Millisecond
)

// move is a VM's change of pool under way.
type move struct {
	Move
	since   time.Duration // when it was planned
	ordered time.Duration // 0 while the VM is being emptied
	up      time.Duration // when it was first seen up in its new pool
}

// planMoves decides which VMs go where they are needed.
func (r *Runner) planMoves(machines map[string]platform.Machine) {
	for _, m := range r.policy.PlanMoves(r.poolStates(machines, r.lastLoads)) {
		r.moves[m.VM] = &move{Move: m, since: r.now()}
		r.log.Info().Str("event", "move_planned").Str("vm", m.VM).Str("from", m.From).Str("to", m.To).Str("why", m.Why).Send()
	}
}

// moveOrders returns the orders for the moves that were decided.
func (r *Runner) moveOrders(mayOrder bool) (due []vmOrder) {
	if !mayOrder {
		return nil
	}
	for vm, m := range r.moves {
		if m.ordered == 0 {
			due = append(due, vmOrder{vm: vm, pool: m.From, send: func(ctx context.Context) { r.sendMove(ctx, m) }})
		}
	}
	return due
}

// settleMoves forgets moves that are over.
func (r *Runner) settleMoves(machines map[string]platform.Machine) {
	now := r.now()
	for vm, m := range r.moves {
		listed, ok := machines[vm]
		why := ""
		switch {
		case !ok:
			why = "the VM is no longer listed"
		case m.up > 0 && now-m.up > moveKnown:
			why = "the VM is up in its new pool"
		case m.up > 0:
		case m.ordered > 0 && listed.Pool == m.To && listed.State == platform.MachineUp:
			m.up = now
		case m.ordered > 0 && now-m.ordered > moveSettles:
			why = "it has taken too long"
		case m.ordered == 0 && r.cfg.ZoneOut(listed.Zone):
			why = "its zone is out of use"
		case m.ordered == 0 && now-m.since > moveGiveUp:
			why = "the VM did not become empty in time"
		}
		if why != "" {
			delete(r.moves, vm)
			r.log.Info().Str("event", "move_over").Str("vm", vm).Str("to", m.To).Str("why", why).Dur("after", now-m.since).Send()
		}
	}
}

// sendMove orders a VM's move.
func (r *Runner) sendMove(ctx context.Context, m *move) {
	err := r.cfg.Machines.MoveMachine(ctx, m.VM, m.To, r.holder())
	r.log.Info().Str("event", "move_ordered").Str("vm", m.VM).Str("from", m.From).Str("to", m.To).Err(err).Send()
	if platform.IsRefused(err) || platform.IsNotDone(err) {
		return
	}
	m.ordered = r.now()
}
