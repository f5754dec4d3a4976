package fleetops

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/packed"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// tableMaintenance is the table of the waves' progress and the announcement of orders.
const tableMaintenance = "maintenance"

// waveProgress is the persisted progress of a wave: the VMs that are done or gone.
type waveProgress struct {
	// DoneNames are the VMs that are done, also those that the request named before, as far as maxDoneNames
	// allows: they stay done when the request is edited.
	DoneNames []string `msgpack:"d,omitempty"`
	// DoneBits is a bitmap over the VMs of the request. VMListHash is the hash of that VM list, to
	// detect that it changed.
	DoneBits   []byte `msgpack:"b,omitempty"`
	VMListHash uint64 `msgpack:"l,omitempty"`
	// StartedAt is when a holder first saw the request, on the table service's clock; 0 as stored by
	// earlier versions.
	StartedAt time.Duration `msgpack:"s,omitempty"`
	// Finished tells that all VMs were done or gone: the time of a request that is edited later begins anew.
	Finished bool `msgpack:"f,omitempty"`
}

// maxDoneNames bounds the bytes of DoneNames. The VMs of larger waves that are edited are ordered again, which
// the VM service answers with success.
const maxDoneNames = 24_000

// done returns a function that reports whether a VM is done or gone, by its name and its index in
// the request. listHash is the hash of the requested VM list.
func (p *waveProgress) done(listHash uint64) func(name string, at int) bool {
	names := make(map[string]bool, len(p.DoneNames))
	for _, name := range p.DoneNames {
		names[name] = true
	}
	return func(name string, at int) bool {
		return names[name] || p.VMListHash == listHash && hasBit(p.DoneBits, at)
	}
}

// vmListHash returns a hash of the VM list of the request.
func (w *Wave) vmListHash() uint64 {
	h := xxhash.New()
	for _, vm := range w.VMs {
		_, _ = h.WriteString(vm + "\n") // never fails
	}
	return h.Sum64()
}

func progressKey(id int) platform.RowKey {
	return platform.RowKey{Table: tableMaintenance, Partition: Partition, Key: strconv.Itoa(id)}
}

// loadProgress reads once which VMs of a wave former holders have maintained.
func (r *Runner) loadProgress(ctx context.Context, w *wave) error {
	if w.loaded {
		return nil
	}
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := progressKey(w.ID)
	page, err := r.cfg.Rows.ListRows(readCtx, key.Table, key.Partition, key.Key)
	if err != nil {
		return err
	}
	w.clockOffset = page.Now - r.now()
	var p waveProgress
	if len(page.Rows) > 0 && page.Rows[0].Key == key.Key {
		if err := packed.Unmarshal(page.Rows[0].Value, &p); err != nil {
			return errors.Wrap(err, "decode progress of wave")
		}
	}
	started := w.applyDone(&p)
	switch {
	case p.Finished && w.open() > 0: // edited since
	case p.StartedAt > 0:
		w.startedAt = min(w.startedAt, p.StartedAt-w.clockOffset)
	case started:
		w.startedAt -= w.Within / 2 // started earlier at an unknown time: makes the wave urgent
	}
	w.loaded, w.changed = true, true
	return nil
}

// applyDone marks the VMs that are done by a stored progress, and reports whether there are any.
func (w *wave) applyDone(p *waveProgress) (any bool) {
	done := p.done(w.vmListHash())
	for at, v := range w.vms {
		if done(v.Name, at) {
			v.Phase, any = PhaseDone, true
		}
	}
	named := make(map[string]bool, len(w.VMs))
	for _, name := range w.VMs {
		named[name] = true
	}
	for _, name := range p.DoneNames {
		if !named[name] {
			w.former[name] = &VM{Name: name, Phase: PhaseDone}
		}
	}
	return any
}

// doneNames returns the names of the VMs that are done, as many as there is room for.
func (w *wave) doneNames() (names []string) {
	for _, v := range slices.Concat(w.vms, slices.Collect(maps.Values(w.former))) {
		if v.Phase == PhaseDone {
			names = append(names, v.Name)
		}
	}
	slices.Sort(names)
	room := maxDoneNames
	for i, name := range names {
		if room -= len(name) + 2; room < 0 {
			return names[:i]
		}
	}
	return names
}

// progress returns the progress to persist, and whether the wave is finished.
func (w *wave) progress() (p waveProgress, finished bool) {
	finished = true
	p.StartedAt = w.startedAt + w.clockOffset
	p.DoneBits, p.VMListHash = newBits(len(w.vms)), w.vmListHash()
	for at, v := range w.vms {
		if v.over() {
			setBit(p.DoneBits, at)
		} else {
			finished = false
		}
	}
	p.DoneNames, p.Finished = w.doneNames(), finished
	return p, finished
}

// saveProgress persists a wave's progress and reports its start and end to the operator.
func (r *Runner) saveProgress(ctx context.Context, w *wave) error {
	if !w.changed {
		return nil
	}
	p, finished := w.progress()
	raw, err := msgpack.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode progress of wave")
	}
	writeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := r.cfg.Rows.CommitRows(writeCtx, platform.RowTxn{
		Expect: []platform.Row{r.claim.Precondition(Partition)}, // a delayed write must not overwrite the next holder's
		Put:    []platform.Row{{RowKey: progressKey(w.ID), Value: raw}},
	}); err != nil {
		return err
	}
	w.changed = false
	if w.startReported && !finished {
		return nil
	}
	return r.reportWave(writeCtx, w, finished)
}

// reportWave writes the row that reports a wave's state to the operator.
func (r *Runner) reportWave(ctx context.Context, w *wave, finished bool) error {
	row, err := r.cfg.Report(w.ID, finished)
	if err != nil {
		w.changed = true
		return err
	}
	txn := platform.RowTxn{Put: []platform.Row{row}}
	if finished && w.Request.Version > 0 {
		txn.Expect = []platform.Row{w.Request} // it may have been edited
	}
	_, err = r.cfg.Rows.CommitRows(ctx, txn)
	if errors.As(err, new(platform.ErrConflict)) {
		r.log.Info().Str("event", "wave_report_outdated").Int("wave", w.ID).Int64("version", w.Request.Version).Send()
		return nil // reported again once this entry knows the edited request
	}
	if err != nil {
		w.changed = true
		return err
	}
	w.startReported = true
	if finished {
		r.mu.Lock()
		w.completed = true
		r.mu.Unlock()
		r.log.Info().Str("event", "wave_completed").Int("wave", w.ID).Send()
	}
	return nil
}
