package shard_test

import (
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// crashes plays jobs with crashing tasks among others while the owner is replaced again and
// again, and orders and transactions are lost or late.
func crashes(plant func(*estate)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newMachine(t, plant)
		e := m.e
		defer e.close()
		m.bootAll(4)
		e.backAfter = rapid.SampledFrom([]time.Duration{time.Second, usualBackAfter, 6 * time.Second}).Draw(t, "back after")
		e.workers.SetDark(rapid.Bool().Draw(t, "dark"))
		m.takeOver()
		for range rapid.IntRange(1, 2).Draw(t, "crashing") {
			m.ruin()
		}
		for range rapid.IntRange(0, 2).Draw(t, "others") {
			m.submit()
		}
		kinds := []func(){m.takeOver, m.handOver, m.usurp, m.orderFault, m.rowFault, m.heal, m.boot, func() {}}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			m.rest(1, 4500, "pause")
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
		}
		m.settle()
	}
}

// TestCrashes holds that a crashing task is given up in time, whoever owns the shard, and
// that no other is.
func TestCrashes(t *testing.T) { prop.Check(t, crashes(nil)) }

// TestCrashesFindsPlanted shows that it finds an owner that does not know what former ones
// have counted.
func TestCrashesFindsPlanted(t *testing.T) {
	plant := func(e *estate) {
		e.breakRows = func(r platform.Rows) platform.Rows { return lossless{r} }
	}
	qt.Assert(t, prop.FindsFailure(t, crashes(plant)), qt.IsTrue)
}

// lossless does not show the losses that are kept of tasks.
type lossless struct{ platform.Rows }

func (l lossless) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	page, err := l.Rows.ListRows(ctx, table, partition, from)
	for i := range page.Rows {
		p, decodeErr := jobs.DecodeProgress(page.Rows[i].Value)
		if page.Rows[i].Table != "progress" || decodeErr != nil {
			continue
		}
		for k := range p.Steps {
			p.Steps[k].Losses = nil
		}
		rows, encodeErr := p.Encode(math.MaxInt)
		if encodeErr != nil {
			return page, encodeErr
		}
		page.Rows[i].Value = rows[0]
	}
	return page, err
}
