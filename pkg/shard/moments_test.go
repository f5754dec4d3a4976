package shard_test

import (
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"
)

// TestMoments runs each script of testdata-moments once for each kind of task, which STEP stands for in
// the script's jobs: what happens between the end of an attempt and its acknowledgement must not depend
// on the kind.
func TestMoments(t *testing.T) {
	for kind, step := range map[string]string{
		"short":        "4x500/300ms",
		"saving":       "4x500/300ms+saves:100ms",
		"long-running": "2x500/0s+saves:100ms",
		"gang":         "2x500/300ms+gang,saves:100ms",
		"copies":       "4x500/300ms+copies",
		"steps":        "2x500/100ms 2x500/150ms<0",
	} {
		t.Run(kind, func(t *testing.T) {
			datadriven.Walk(t, "testdata-moments", func(t *testing.T, path string) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestCluster(t)
					e.step = step
					defer e.close()
					datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return e.run(d) })
				})
			})
		})
	}
}
