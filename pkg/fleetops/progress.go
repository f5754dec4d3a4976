package fleetops

import (
	"context"
	"strconv"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// tableProgress holds what is done of each wave, and the announcement of orders.
const tableProgress = "maintenance"

// kept is what lasts of a wave.
type kept struct {
	Done []string `msgpack:"d"` // VMs that are done or gone
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
	row, err := shard.ReadOne(readCtx, r.cfg.Rows, progressKey(w.ID))
	if err != nil {
		return err
	}
	var k kept
	if row.Version > 0 {
		if err := msgpack.Unmarshal(row.Value, &k); err != nil {
			return errors.Wrap(err, "decode progress of wave")
		}
	}
	done := make(map[string]bool, len(k.Done))
	for _, name := range k.Done {
		done[name] = true
	}
	for _, v := range w.vms {
		if done[v.Name] {
			v.Phase = PhaseDone
		}
	}
	if len(k.Done) > 0 {
		w.begun -= w.Within / 2 // a former owner began it, it is not known when
	}
	w.loaded, w.changed = true, true
	return nil
}

// progress returns what lasts of a wave, and whether the wave is finished.
func (w *wave) progress() (k kept, finished bool) {
	finished = true
	for _, v := range w.vms {
		if v.Phase == PhaseDone || v.Phase == PhaseGone {
			k.Done = append(k.Done, v.Name)
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
		Expect: []platform.Row{r.claim.Holds(Partition)}, // a late write must not replace a next owner's
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
