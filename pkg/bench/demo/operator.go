package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/bench/checker"
	"github.com/gannetwell/gannetwell/pkg/bench/cluster"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
	"github.com/gannetwell/gannetwell/service/api"
	"github.com/gannetwell/gannetwell/service/client"
)

const (
	editInterval    = 700 * time.Millisecond
	maxEditAttempts = 20
	retryInterval   = 50 * time.Millisecond
)

// operator edits the table through random entries.
type operator struct {
	checker   *checker.Checker
	entries   *cluster.Entries
	editCount atomic.Int64
}

// edit submits an edit and reports its acceptance to the checker. It retries under the
// same ID when nothing was written or the outcome is unknown.
func (o *operator) edit(ctx context.Context, reason string, changes []api.RowChange) (err error) {
	q := api.EditRequest{ID: fmt.Sprintf("demo-%d-%d", time.Now().UnixNano(), o.editCount.Add(1)), Reason: reason, Changes: changes}
	for range maxEditAttempts {
		var result api.EditResult
		result, err = o.entries.AnyClient().Edit(ctx, q)
		if err == nil {
			o.checker.EditAccepted(result.Revision, time.Now())
			return nil
		}
		var failure client.ErrAPI
		if errors.As(err, &failure) && failure.Body.Code != api.ErrorCodeNotDone && failure.Body.Code != api.ErrorCodeUnknown {
			return err
		}
		sleep(ctx, retryInterval)
	}
	return err
}

// apply creates rows.
func (o *operator) apply(ctx context.Context, rows []table.StoredRow, reason string) error {
	var changes []api.RowChange
	for _, r := range rows {
		changes = append(changes, api.RowChange{Kind: string(r.Key.Kind), Name: r.Key.Name, Value: r.Value})
	}
	return o.edit(ctx, reason, changes)
}

// startWave creates a running wave over all pools.
func (o *operator) startWave(ctx context.Context, name string) error {
	return o.edit(ctx, "the demo's maintenance", []api.RowChange{{
		Kind: string(schema.KindWave), Name: name,
		Value: table.MustValue(schema.Wave{State: schema.WaveStateRunning, Pools: []string{}}),
	}})
}

// editPeriodically changes the weights until ctx is done.
func (o *operator) editPeriodically(ctx context.Context) {
	for n := 1; ; n++ {
		sleep(ctx, editInterval)
		if ctx.Err() != nil {
			return
		}
		_ = o.changeWeights(ctx, n) // a failed edit is tried again in the next round
	}
}

func (o *operator) changeWeights(ctx context.Context, n int) error {
	rows, err := o.entries.AnyClient().Rows(ctx, string(schema.KindWeights), table.FleetWeights)
	if err != nil || len(rows.Rows) != 1 {
		return err
	}
	var w schema.Weights
	if err := json.Unmarshal(rows.Rows[0].Value, &w); err != nil {
		return err
	}
	w.BufferCost = 1 + float64(n%10)/10
	return o.edit(ctx, "the demo's change of weights", []api.RowChange{{
		Kind: string(schema.KindWeights), Name: table.FleetWeights, Seen: rows.Rows[0].Version, Value: table.MustValue(w),
	}})
}
