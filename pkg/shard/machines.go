package shard

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// trustList is how long after a takeover the VM list is asked for first: it
	// lags behind, and must be of a later time than the last boot that the former
	// owner has recorded.
	trustList = 2 * time.Second
	// askListAgain is the pause before the list is asked for again.
	askListAgain = time.Second
)

// askMachines looks for boots of the former owner that do not answer in the VM
// list: a VM that has another worker or another pool has ended the one we wait for.
// The directory does not tell that: a heartbeat that was held up on the way may
// write the row of an ended boot after that of its successor. The lock is held.
func (o *Owner) askMachines(now time.Duration) {
	if !o.formerPending || now < o.tookOverAt+trustList || now < o.machinesReadAt+askListAgain {
		return
	}
	o.machinesReadAt = now
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, pollTimeout)
		defer cancel()
		list, err := o.cfg.Machines.ListMachines(ctx)
		o.mu.Lock()
		defer o.mu.Unlock()
		if err != nil {
			o.log.Warn().Str("event", "machines_not_listed").Err(err).Send()
			return
		}
		o.endReplaced(list)
	})
}

// endReplaced ends the sessions of boots that the VM list shows to be over; the lock is held.
func (o *Owner) endReplaced(list []platform.Machine) {
	byVM := make(map[string]platform.Machine, len(list))
	for _, m := range list {
		byVM[m.VM] = m
	}
	for _, s := range o.sessionsByBoot() {
		if !s.recorded || s.synced || s.vm == "" {
			continue
		}
		m, ok := byVM[s.vm]
		switch {
		case !ok:
			o.bootEnded(s, "its VM is no longer there")
		case m.Pool != o.cfg.Pool:
			o.bootEnded(s, "its VM is in another pool")
		case m.State == platform.MachineUp && m.Worker != "" && m.Worker != s.worker:
			o.bootEnded(s, "its VM has another worker")
		}
	}
}
