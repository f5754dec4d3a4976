package shard

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestOddJobs guards against a stored job that ends each process that takes its shard over.
func TestOddJobs(t *testing.T) {
	const pool = "p"
	progress, err := encode(jobs.Progress{Steps: []jobs.StepProgress{{StepNumber: 0, Done: []byte{1}}}})
	qt.Assert(t, err, qt.IsNil)
	datadriven.RunTest(t, "testdata-rows/odd_jobs", func(t *testing.T, d *datadriven.TestData) string {
		var odd jobs.Record
		qt.Assert(t, json.Unmarshal([]byte(d.Input), &odd), qt.IsNil)
		txn := platform.RowTxn{Put: []platform.Row{{RowKey: progressKeys(pool, "odd", 1)[0], Value: progress}}}
		for id, r := range map[string]jobs.Record{"odd": odd, "sound": {Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1}}}}} {
			raw, err := r.Encode()
			qt.Assert(t, err, qt.IsNil)
			txn.Put = append(txn.Put, platform.Row{RowKey: jobKey(pool, id), Value: raw})
		}
		rows := fake.NewRows(time.Microsecond, time.Second).As("e")
		_, err := rows.CommitRows(context.Background(), txn)
		qt.Assert(t, err, qt.IsNil)
		malformed := 0
		stored, err := readStoredState(context.Background(), rows, pool, 1, 0, func(errMalformedRow) { malformed++ })
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, stored.registry.Job("sound"), qt.IsNotNil)
		if !stored.unreadable["odd"] {
			return "read\n"
		}
		qt.Check(t, malformed, qt.Equals, 1)
		qt.Check(t, stored.registry.Job("odd"), qt.IsNil)
		return "refused\n"
	})
}
