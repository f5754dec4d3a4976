package startrate_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/gannetwell/gannetwell/pkg/startrate"
)

// TestRate runs the script testdata/rate, which gives the answers in windows of 250 ms, and prints
// the limit after each.
func TestRate(t *testing.T) {
	var r startrate.Limiter
	var now time.Duration
	datadriven.RunTest(t, "testdata/rate", func(t *testing.T, d *datadriven.TestData) (out string) {
		arg := func(key string) string {
			for _, a := range d.CmdArgs {
				if a.Key == key {
					return a.Vals[0]
				}
			}
			return "0"
		}
		number := func(key string) int {
			n, err := strconv.Atoi(arg(key))
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
		switch d.Cmd {
		case "new":
			r = startrate.Limiter{}
			return ""
		case "windows":
			fastest, err := time.ParseDuration(arg("fastest"))
			if err != nil {
				t.Fatal(err)
			}
			for range number("count") {
				answers := number("answered")
				if most := number("demand"); most > 0 {
					answers = min(most, r.Available(now))
					r.Spend(answers)
				}
				now += 250 * time.Millisecond
				for i := range answers {
					r.Observe(fastest+time.Duration(i)*time.Millisecond, true)
				}
				for range number("lost") {
					r.Observe(time.Second, false)
				}
				_, changed := r.Update(now)
				out += fmt.Sprintf("%d answered, at limit %v, changed %v, %.0f a second\n", answers, r.Limiting(), changed, r.PerSecond())
			}
			return out
		default:
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		}
	})
}
