package fleetops

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// drainTimeout is how long a VM may take to drain before its move is abandoned.
	drainTimeout = 3 * time.Second
	// maxDrainWait is how long the tasks of a VM may be expected to run on for it to be drained for a move.
	maxDrainWait = drainTimeout * 2 / 3
	// moveTimeout is how long after its order a VM may take to come up in its new pool.
	moveTimeout = 8 * time.Second
	// loadReportLag is how long after a VM came up its new pool's load may be reported without it.
	loadReportLag = 600 * time.Millisecond
)

// move is the execution state of a planned move.
type move struct {
	Move
	evacuated bool          // its VM's zone was evacuated when it was planned
	plannedAt time.Duration // on the entry's clock, as the other times
	orderedAt time.Duration // 0 while the VM is being drained
	upAt      time.Duration // when the VM was first seen up in its new pool
}

// planMoves adds the moves that bring the pools closer to their target sizes.
func (r *Runner) planMoves(machines map[string]platform.Machine) {
	pools := r.poolStates(machines, r.lastLoads)
	level := r.policy.SetShares(pools)
	r.reportShares(pools, level)
	planned := r.policy.PlanMoves(pools)
	planned = append(planned, r.planEvacuated(pools, planned, machines)...)
	for _, m := range planned {
		r.moves[m.VM] = &move{Move: m, evacuated: r.cfg.ZoneEvacuated(machines[m.VM].Zone), plannedAt: r.now()}
		r.log.Info().Str("event", "move_planned").Str("vm", m.VM).Str("from", m.From).Str("to", m.To).Str("why", m.Reason).Send()
	}
}

// moveOrders returns the orders to send for planned moves. Their VMs have the given rank.
func (r *Runner) moveOrders(mayOrder bool, rank int) (due []vmOrder) {
	if !mayOrder {
		return nil
	}
	for vm, m := range r.moves {
		if m.orderedAt == 0 {
			due = append(due, vmOrder{vm: vm, wave: noWave, pool: m.From, rank: rank, send: func(ctx context.Context) { r.sendMove(ctx, m) }})
		}
	}
	return due
}

// finishMoves removes moves that succeeded, failed or timed out.
func (r *Runner) finishMoves(machines map[string]platform.Machine) {
	now := r.now()
	for vm, m := range r.moves {
		listed, ok := machines[vm]
		reason := ""
		switch {
		case !ok:
			reason = "the VM is no longer listed"
		case m.upAt > 0 && now-m.upAt > loadReportLag:
			reason = "the VM is up in its new pool"
		case m.upAt > 0:
		case m.orderedAt > 0 && listed.Pool == m.To && listed.State == platform.MachineUp:
			m.upAt = now
		case m.orderedAt > 0 && now-m.orderedAt > moveTimeout:
			reason = "the move timed out"
		case m.orderedAt == 0 && r.cfg.ZoneEvacuated(listed.Zone) != m.evacuated:
			reason = "the VM's zone was evacuated or is back"
		case m.orderedAt == 0 && now-m.plannedAt > drainTimeout:
			reason = "the VM was not drained in time"
		}
		if reason != "" {
			delete(r.moves, vm)
			r.log.Info().Str("event", "move_over").Str("vm", vm).Str("to", m.To).Str("why", reason).Dur("after", now-m.plannedAt).Send()
		}
	}
}

// sendMove orders a VM's move. Its event is logged for each order sent, with the error of one that
// was refused or not answered.
func (r *Runner) sendMove(ctx context.Context, m *move) {
	err := r.cfg.Machines.MoveMachine(ctx, m.VM, m.To, r.holder())
	r.log.Info().Str("event", "move_ordered").Str("vm", m.VM).Str("from", m.From).Str("to", m.To).Err(err).Send()
	if r.endOrder(m.VM, noWave, err) == OrderRefused {
		return
	}
	m.orderedAt = r.now()
}
