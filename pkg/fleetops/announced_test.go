package fleetops

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/internal/packedtest"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestAnnouncedLengths guards against memory for elements that a stored announcement of orders does not hold.
func TestAnnouncedLengths(t *testing.T) {
	var err error
	n := packedtest.Allocated(func() { _, err = decodeAnnouncement(platform.Row{Version: 1, Value: packedtest.Announcing("o")}) })
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, n < packedtest.MaxAllocated, qt.IsTrue, qt.Commentf("%d bytes", n))
}

// TestAnnouncedProgress guards against memory for VMs that the stored progress of a wave announces and does not hold.
func TestAnnouncedProgress(t *testing.T) {
	rows := fake.NewRows(time.Microsecond, time.Second).As("e")
	_, err := rows.CommitRows(context.Background(), platform.RowTxn{Put: []platform.Row{{RowKey: progressKey(3), Value: packedtest.Announcing("d")}}})
	qt.Assert(t, err, qt.IsNil)
	r := &Runner{cfg: Config{Rows: rows, Clock: elapsed.New()}}
	n := packedtest.Allocated(func() { err = r.loadProgress(context.Background(), &wave{Wave: Wave{ID: 3}}) })
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, n < packedtest.MaxAllocated, qt.IsTrue, qt.Commentf("%d bytes", n))
}
