package table

import (
	"fmt"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Unavailable returns the number of VMs per pool that are out of service according to the
// table.
func (s *Snapshot) Unavailable() map[string]int {
	out := map[string]int{}
	for _, row := range s.VMs {
		if row.Value.Pool != "" && row.Value.Phase != schema.PhaseActive {
			out[row.Value.Pool]++
		}
	}
	return out
}

// InMaintenance reports whether a phase is part of planned maintenance, which counts against
// the pool's budget.
func InMaintenance(p schema.Phase) bool {
	return p == schema.PhaseDraining || p == schema.PhaseRebooting || p == schema.PhaseChecking
}

// checkTransition checks constraints on how rows change. Every edit is checked against the
// result of the one before, so concurrent edits cannot exceed a budget together.
func checkTransition(before, after *Snapshot, e *schema.Entry, operator bool) (problems []Problem) {
	c := &transitionChecker{before: before, after: after}
	for _, change := range e.Changes {
		if change.Kind != schema.KindVM {
			continue
		}
		c.checkVM(change.Name, operator)
	}
	c.checkBudgets()
	return c.problems
}

type transitionChecker struct {
	before, after *Snapshot
	takenOut      map[string]string // VM that this edit takes out of service for maintenance, by pool
	problems      []Problem
}

func (c *transitionChecker) add(vm, column, message string) {
	c.problems = append(c.problems, Problem{Key: Key{Kind: schema.KindVM, Name: vm}, Column: column, Message: message})
}

func (c *transitionChecker) checkVM(name string, operator bool) {
	old, existed := c.before.VMs[name]
	row, exists := c.after.VMs[name]
	_, serves := c.before.Pools[old.Value.Pool]
	switch {
	case operator && existed && exists:
		c.checkOperatorEdit(name, old.Value, row.Value)
	case operator && exists && row.Value.Phase != schema.PhaseActive:
		c.add(name, "phase", "control writes this column")
	case existed && !exists && serves && old.Value.Phase == schema.PhaseActive:
		c.add(name, "", fmt.Sprintf("the VM serves pool %q: shrink the pool first", old.Value.Pool))
	}
	if existed && exists {
		c.checkPoolMove(name, old.Value, row.Value)
		c.recordTakenOut(name, old.Value, row.Value)
	}
}

// checkOperatorEdit rejects changes by an operator to columns owned by control.
func (c *transitionChecker) checkOperatorEdit(name string, old, row schema.VM) {
	const message = "control writes this column"
	if old.Pool != row.Pool {
		c.add(name, "pool", "control decides which pool has a VM: change the pools' sizes")
	}
	if old.Phase != row.Phase {
		c.add(name, "phase", message)
	}
	if old.PhaseSinceMs != row.PhaseSinceMs {
		c.add(name, "phase_since_ms", message)
	}
	if old.Wave != row.Wave {
		c.add(name, "wave", message)
	}
	if old.Operation != row.Operation || old.OperationBoot != row.OperationBoot {
		c.add(name, "operation", message)
	}
	if old.MaintainedBy != row.MaintainedBy || old.MaintainedAtMs != row.MaintainedAtMs {
		c.add(name, "maintained_by", message)
	}
	if old.Address != row.Address && old.Pool != "" {
		c.add(name, "address", fmt.Sprintf("the VM serves pool %q: add the machine under another name", old.Pool))
	}
}

// checkPoolMove rejects moving a VM to another pool while entries still send it requests.
func (c *transitionChecker) checkPoolMove(name string, old, row schema.VM) {
	if old.Pool == row.Pool || old.Pool == "" {
		return
	}
	if old.Phase == schema.PhaseActive {
		c.add(name, "pool", fmt.Sprintf("the VM still serves pool %q: it must drain before it changes pools", old.Pool))
	}
	if old.Phase == schema.PhaseDraining && row.Pool != "" {
		c.add(name, "pool", "a drained VM goes to the buffer first")
	}
}

// recordTakenOut records a VM that goes out of service for maintenance.
func (c *transitionChecker) recordTakenOut(name string, old, row schema.VM) {
	if old.Phase != schema.PhaseActive || !InMaintenance(row.Phase) || row.Pool == "" {
		return
	}
	if c.takenOut == nil {
		c.takenOut = map[string]string{}
	}
	c.takenOut[row.Pool] = name
}

func (c *transitionChecker) checkBudgets() {
	if len(c.takenOut) == 0 {
		return
	}
	unavailable := c.after.Unavailable()
	for _, pool := range c.after.Pools.Names() {
		vm, ok := c.takenOut[pool]
		budget := c.after.Pools[pool].Value.MaxUnavailable
		if ok && unavailable[pool] > budget {
			c.add(vm, "phase", fmt.Sprintf("pool %q would have %d VMs out of service, its budget is %d", pool, unavailable[pool], budget))
		}
	}
}
