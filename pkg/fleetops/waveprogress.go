package fleetops

import (
	"slices"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// maxCachedWaves bounds the waves in a [ProgressCache].
const maxCachedWaves = 32

// WaveProgress is what a holder knows of the VMs of a wave, as bitmaps over the VMs of its request.
// Entries exchange it encoded by field names.
type WaveProgress struct {
	Wave       int    // ID
	VMListHash uint64 // of the request, to detect that it changed
	Done       []byte // VMs that are maintained or no longer exist
	Accepted   []byte // VMs whose maintenance the VM service has accepted
	// AcceptedBy is when it had accepted them at the latest, on the table service's clock, by index in
	// the request. Earlier versions do not tell it.
	AcceptedBy map[int]time.Duration `msgpack:",omitempty"`
}

// add adds what another holder knows of the same request.
func (p *WaveProgress) add(other WaveProgress) {
	p.Done = unionOfBits(p.Done, other.Done)
	p.Accepted = unionOfBits(p.Accepted, other.Accepted)
	by := map[int]time.Duration{}
	for _, known := range []map[int]time.Duration{p.AcceptedBy, other.AcceptedBy} {
		for at, t := range known {
			if before, ok := by[at]; !hasBit(p.Done, at) && (!ok || t < before) {
				by[at] = t
			}
		}
	}
	p.AcceptedBy = by
}

// ProgressCache keeps the progress of waves that holders have told, for the next holder: the table
// service may be away when a VM is done. What it holds stays true, so that the order in which news of
// several holders arrive does not matter. It is safe for concurrent use.
type ProgressCache struct {
	mu    sync.Mutex
	waves []WaveProgress // the one that was first told of longest ago comes first
}

// Add adds what is known of waves to what is kept.
func (c *ProgressCache) Add(news []WaveProgress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range news {
		at := slices.IndexFunc(c.waves, func(known WaveProgress) bool { return known.Wave == p.Wave })
		switch {
		case at < 0:
			c.waves = append(c.waves, p)
		case c.waves[at].VMListHash != p.VMListHash:
			c.waves[at] = p
		default:
			c.waves[at].add(p)
		}
	}
	c.waves = c.waves[max(0, len(c.waves)-maxCachedWaves):]
}

// All returns what is kept of all waves.
func (c *ProgressCache) All() []WaveProgress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.waves)
}

// unstoredProgress returns the progress of open waves that the table service may not hold: it stores
// no accepted orders, and what is done only after some time.
func (r *Runner) unstoredProgress() (all []WaveProgress) {
	open := r.openWaves()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range open {
		p := w.known(r.clock)
		if w.loaded && (w.changed || len(p.AcceptedBy) > 0) {
			all = append(all, p)
		}
	}
	return all
}

// known returns what is known of a wave's VMs.
func (w *wave) known(clock tableClock) WaveProgress {
	p := WaveProgress{Wave: w.ID, VMListHash: w.vmListHash(), Done: newBits(len(w.vms)), Accepted: newBits(len(w.vms)), AcceptedBy: map[int]time.Duration{}}
	for at, v := range w.vms {
		switch {
		case v.over():
			setBit(p.Done, at)
		case v.Phase == PhaseOrdered && v.accepted:
			setBit(p.Accepted, at)
			p.AcceptedBy[at] = clock.latest(v.acceptedAt)
		}
	}
	return p
}

// applyLearned updates a wave by what former holders have told other entries.
func (r *Runner) applyLearned(w *wave, machines map[string]platform.Machine) {
	hash, done, ordered := w.vmListHash(), 0, 0
	for _, p := range r.learned.All() {
		if p.Wave != w.ID || p.VMListHash != hash {
			continue
		}
		for at, v := range w.vms {
			switch {
			case v.over():
			case hasBit(p.Done, at):
				r.setPhase(w, v, PhaseDone, "a former holder saw it done")
				done++
			case v.Phase != PhaseOrdered && hasBit(p.Accepted, at):
				v.Worker = r.workerBefore(w, machines[v.Name])
				v.accept(r.acceptedBy(p, at))
				r.setPhase(w, v, PhaseOrdered, "a former holder's order was accepted")
				ordered++
			}
		}
	}
	if done+ordered > 0 {
		r.log.Info().Str("event", "wave_progress_learned").Int("wave", w.ID).Int("done", done).Int("ordered", ordered).Send()
		r.cfg.OnLearned(done + ordered)
	}
}

// acceptedBy returns when a former holder's order had been accepted at the latest, on the entry's clock.
func (r *Runner) acceptedBy(p WaveProgress, at int) time.Duration {
	now := r.now()
	by, known := p.AcceptedBy[at]
	if !known {
		return now
	}
	return now - max(0, r.clock.earliest(now)-by)
}

// workerBefore returns the worker that a VM had when a former holder announced its order for a wave.
// If that is not known it is the present one: the VM then counts as down until its maintenance must
// be over.
func (r *Runner) workerBefore(w *wave, m platform.Machine) string {
	if o, ok := r.formerOrders.find(m.VM, w.ID); ok && o.Boot != "" {
		return o.Boot
	}
	return m.Worker
}
