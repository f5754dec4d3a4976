package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// vmListDelay is the time after a takeover before the VM list is first requested. The list lags
	// behind and must be more recent than the last boot that the predecessor recorded.
	vmListDelay = 2 * time.Second
	// vmListInterval is the pause between two requests.
	vmListInterval = time.Second
)

// checkVMList looks up inherited boots that do not answer in the VM list: a VM that has another
// worker or is in another pool no longer runs the boot. The directory can't tell, since a delayed
// heartbeat may overwrite the row of the boot that followed. The lock is held.
func (o *Owner) checkVMList(now time.Duration) {
	if !o.formerWorkersPending || now < o.tookOverAt+vmListDelay || now < o.machinesReadAt+vmListInterval {
		return
	}
	o.machinesReadAt = now
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, pollTimeout)
		defer cancel()
		list, err := o.cfg.Machines.ListMachines(ctx)
		o.mu.Lock()
		defer o.mu.Unlock()
		incomplete := errors.As(err, new(platform.ErrIncomplete))
		if err != nil {
			o.log.Warn().Str("event", "machines_not_listed").Bool("incomplete", incomplete).Err(err).Send()
		}
		if err == nil || incomplete {
			o.endReplacedBoots(list, !incomplete)
		}
	})
}

// endReplacedBoots ends the sessions of boots that have ended according to the VM list; the lock is held. Of a list that is
// not complete only what it has counts: a VM that it lacks may be there.
func (o *Owner) endReplacedBoots(list []platform.Machine, complete bool) {
	byVM := make(map[string]platform.Machine, len(list))
	for _, m := range list {
		byVM[m.VM] = m
	}
	for _, s := range o.sessionsByBoot() {
		if !s.recorded() || s.attemptsKnown || s.vm == "" {
			continue
		}
		m, ok := byVM[s.vm]
		switch {
		case !ok && complete:
			o.bootEnded(s, "its VM no longer exists")
		case !ok:
		case m.Pool != o.cfg.Pool:
			o.bootEnded(s, "its VM is in another pool")
		case m.State == platform.MachineUp && m.Worker != "" && m.Worker != s.worker:
			o.bootEnded(s, "its VM runs another worker")
		}
	}
}
