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

// crashes runs jobs with and without crashing tasks while the owner is replaced and orders and
// transactions are lost or late.
func crashes(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newScenario(t, inject)
		e := m.e
		defer e.close()
		m.bootAll(4)
		e.crashRestartDelay = rapid.SampledFrom([]time.Duration{time.Second, defaultCrashRestartDelay, 6 * time.Second}).Draw(t, "back after")
		e.workers.SetBlackhole(rapid.Bool().Draw(t, "dark"))
		m.takeOver()
		for range rapid.IntRange(1, 2).Draw(t, "crashing") {
			m.submitCrashing()
		}
		for range rapid.IntRange(0, 2).Draw(t, "others") {
			m.submit()
		}
		kinds := []func(){m.takeOver, m.handOver, m.startConcurrentOwner, m.orderFault, m.rowFault, m.clearFaults, m.boot, func() {}}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			m.pause(1, 4500, "pause")
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
		}
		m.finish()
	}
}

// TestCrashes checks that the jobs of crashing tasks fail in time, and no others.
func TestCrashes(t *testing.T) { prop.Check(t, crashes(nil)) }

// TestCrashesDetectsFaults checks that it detects an owner that does not know the losses recorded by
// former ones.
func TestCrashesDetectsFaults(t *testing.T) {
	inject := func(e *testCluster) {
		e.wrapRows = func(r platform.Rows) platform.Rows { return withoutLosses{r} }
	}
	qt.Assert(t, prop.FindsFailure(t, crashes(inject)), qt.IsTrue)
}

// withoutLosses hides the recorded losses of tasks.
type withoutLosses struct{ platform.Rows }

func (l withoutLosses) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
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
