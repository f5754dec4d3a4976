package shard

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/internal/packedtest"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestAnnouncedLengths guards against memory for elements that a stored row announces and does not hold.
func TestAnnouncedLengths(t *testing.T) {
	const pool, route = "p", "r"
	queueRoute := queuePoolsKey(route)
	for name, row := range map[string]platform.Row{
		"part of the record":  {RowKey: partKey(pool, 3), Value: packedtest.Announcing()},
		"record in one row":   {RowKey: markerKey(pool), Value: packedtest.Announcing()},
		"queue of the shard":  {RowKey: queueRowKey(pool, route), Value: packedtest.Announcing("f")},
		"job":                 {RowKey: jobKey(pool, "j"), Value: packedtest.Announcing("s", "s")},
		"progress":            {RowKey: progressKeys(pool, "j", 1)[0], Value: packedtest.Announcing("p")},
		"pools of the queue":  {RowKey: queueRoute, Value: packedtest.Announcing()},
		"shares of the limit": {RowKey: sharesRowKey(pool), Value: packedtest.Announcing("a")},
	} {
		t.Run(name, func(t *testing.T) {
			rows := fake.NewRows(time.Microsecond, time.Second).As("e")
			_, err := rows.CommitRows(context.Background(), platform.RowTxn{Put: []platform.Row{row}})
			qt.Assert(t, err, qt.IsNil)
			malformed := 0
			n := packedtest.Allocated(func() {
				_, stateErr := readStoredState(context.Background(), rows, pool, 1, 0, func(errMalformedRow) { malformed++ })
				_, poolsErr := ReadQueuePools(context.Background(), rows, route)
				if stateErr != nil || poolsErr != nil {
					malformed++
				}
			})
			qt.Check(t, malformed, qt.Equals, 1)
			qt.Check(t, n < packedtest.MaxAllocated, qt.IsTrue, qt.Commentf("%d bytes", n))
		})
	}
}
