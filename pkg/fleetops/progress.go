package fleetops

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// tableProgress holds what is done of each wave, and the announcement of orders.
const tableProgress = "maintenance"

// kept is what lasts of a wave: the VMs that are done or gone.
type kept struct {
	Names []string `msgpack:"d,omitempty"` // as earlier versions keep them
	// Bits are a bit for each VM in the order of the request, whose VMs List is a hash of. Names of
	// 8,000 VMs were more than a row takes.
	Bits []byte `msgpack:"b,omitempty"`
	List uint64 `msgpack:"l,omitempty"`
}

// done tells whether a VM of the wave is done or gone, by its name and place in the request.
func (k *kept) done(list uint64) func(name string, at int) bool {
	names := make(map[string]bool, len(k.Names))
	for _, name := range k.Names {
		names[name] = true
	}
	return func(name string, at int) bool {
		return names[name] || k.List == list && at/8 < len(k.Bits) && k.Bits[at/8]&(1<<(at%8)) != 0
	}
}

// list is a hash of the VMs that a wave is requested for.
func (w *Wave) list() uint64 {
	h := xxhash.New()
	for _, vm := range w.VMs {
		_, _ = h.WriteString(vm + "\n") // never fails
	}
	return h.Sum64()
}

func progressKey(id int) platform.RowKey {
	return platform.RowKey{Table: tableProgress, Partition: Partition, Key: strconv.Itoa(id)}
}

// loadProgress reads what a former owner has done of a wave, once.
func (r *Runner) loadProgress(ctx context.Context, w *wave) error {
	if w.loaded {
		return nil
	}
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := shard.ReadRow(readCtx, r.cfg.Rows, progressKey(w.ID))
	if err != nil {
		return err
	}
	var k kept
	if row.Version > 0 {
		if err := msgpack.Unmarshal(row.Value, &k); err != nil {
			return errors.Wrap(err, "decode progress of wave")
		}
	}
	done, begun := k.done(w.list()), false
	for at, v := range w.vms {
		if done(v.Name, at) {
			v.Phase, begun = PhaseDone, true
		}
	}
	if begun {
		w.begun -= w.Within / 2 // a former owner began it, it is not known when
	}
	w.loaded, w.changed = true, true
	return nil
}

// progress returns what lasts of a wave, and whether the wave is finished.
func (w *wave) progress() (k kept, finished bool) {
	finished = true
	k.Bits, k.List = make([]byte, (len(w.vms)+7)/8), w.list()
	for at, v := range w.vms {
		if v.Phase == PhaseDone || v.Phase == PhaseGone {
			k.Bits[at/8] |= 1 << (at % 8)
		} else {
			finished = false
		}
	}
	return k, finished
}

// keepProgress writes what is done, and reports to the operator.
func (r *Runner) keepProgress(ctx context.Context, w *wave) error {
	if !w.changed {
		return nil
	}
	k, finished := w.progress()
	raw, err := msgpack.Marshal(k)
	if err != nil {
		return errors.Wrap(err, "encode progress of wave")
	}
	writeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := r.cfg.Rows.CommitRows(writeCtx, platform.RowTxn{
		Expect: []platform.Row{r.claim.Precondition(Partition)}, // a late write must not replace a next owner's
		Put:    []platform.Row{{RowKey: progressKey(w.ID), Value: raw}},
	}); err != nil {
		return err
	}
	w.changed = false
	if w.reported && !finished {
		return nil
	}
	return r.reportWave(writeCtx, w, finished)
}

// reportWave tells the operator how far a wave has come.
func (r *Runner) reportWave(ctx context.Context, w *wave, finished bool) error {
	row, err := r.cfg.Report(w.ID, finished)
	if err != nil {
		w.changed = true
		return err
	}
	if _, err := r.cfg.Rows.CommitRows(ctx, platform.RowTxn{Put: []platform.Row{row}}); err != nil {
		w.changed = true
		return err
	}
	w.reported = true
	if finished {
		r.mu.Lock()
		w.completed = true
		r.mu.Unlock()
		r.log.Info().Str("event", "wave_completed").Int("wave", w.ID).Send()
	}
	return nil
}
