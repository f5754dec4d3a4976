package quota

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// Runs testdata/divide: one line per shard with its running work, demand and smallest start, and
// the resulting shares.
func TestDivide(t *testing.T) {
	datadriven.RunTest(t, "testdata/divide", func(t *testing.T, d *datadriven.TestData) string {
		var usage []Usage
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			var v [3]float64
			for i, f := range strings.Fields(line) {
				x, err := strconv.ParseFloat(f, 64)
				if err != nil {
					t.Fatal(err)
				}
				v[i] = x
			}
			usage = append(usage, Usage{Running: v[0], Demand: v[1], MinStart: v[2]})
		}
		var out strings.Builder
		for _, share := range Divide(usage) {
			fmt.Fprintf(&out, "%.3f\n", share)
		}
		return out.String()
	})
}

// Shares never sum to more than the limit unless more is running already, never fall below running
// work, and leave no shard short while another has enough to spare.
func TestDivideProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var usage []Usage
		running := 0.0
		for range rapid.IntRange(1, 8).Draw(t, "shards") {
			u := Usage{Running: rapid.Float64Range(0, 0.6).Draw(t, "running")}
			if rapid.Bool().Draw(t, "waits") {
				u.MinStart = rapid.Float64Range(0.0001, 0.5).Draw(t, "step")
				u.Demand = u.Running + u.MinStart*float64(rapid.IntRange(1, 20).Draw(t, "tasks"))
			}
			running += u.Running
			usage = append(usage, u)
		}
		sum, spare, short := 0.0, 0.0, 0.0
		for i, share := range Divide(usage) {
			u := &usage[i]
			sum += share
			if share < u.Running-epsilon {
				t.Fatalf("shard %d gets %f, but %f runs there", i, share, u.Running)
			}
			spare = max(spare, share-u.demand())
			if u.MinStart > 0 && share < u.Running+u.MinStart-epsilon {
				short = max(short, 1/u.MinStart)
			}
		}
		if sum > max(1, running)+epsilon {
			t.Fatalf("shares sum to %f while %f runs: %+v", sum, running, usage)
		}
		if short > 0 && spare > 1/short+epsilon {
			t.Fatalf("a shard has %f to spare while another cannot start a task of %f: %+v", spare, 1/short, usage)
		}
	})
}
