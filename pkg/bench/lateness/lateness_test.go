package lateness

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestTable counts the jobs of small logs by cause.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			windows, err := CountByWindow(strings.NewReader(d.Input), Objective{Target: 600 * time.Millisecond, Stretch: 1.6}, 4*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			for _, w := range windows {
				for _, c := range Causes {
					if n := w.Counts[c]; n > 0 {
						fmt.Fprintf(&out, "%v: %s %d\n", w.From, c, n)
					}
				}
			}
			return out.String()
		})
	})
}
