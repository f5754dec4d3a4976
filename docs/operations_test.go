package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// event finds the names of log lines in a page and in the code.
var (
	eventInPage = regexp.MustCompile(`"event":"([a-z_]+)"|\x60([a-z]+_[a-z_]+)\x60`)
	eventInCode = regexp.MustCompile(`Str\("event", "([a-z_]+)"\)|"event":"([a-z_]+)"|"(gannetwell_[a-z_]+)"`)
)

// notEvents are names on the page that are fields or outcomes of lines, or metrics.
var notEvents = map[string]bool{"not_found": true, "not_owner": true, "cpu_waiting": true, "cpu_arriving": true, "process_cpu_seconds_total": true, "no_room": true, "at_limit": true, "fastest_answer": true, "on_trial": true, "heard_ago": true, "lease_until": true, "earlier_ended_ago": true, "leases_end_in": true, "store_up": true, "jobs_refused": true, "max_down": true, "not_urgent": true, "maybe_done": true, "order_gap": true, "other_wave": true, "not_up": true, "body_time": true, "request_bytes": true}

// TestOperationsPage sees that each log line and plain metric which the page builds on is written by the code.
func TestOperationsPage(t *testing.T) {
	c := qt.New(t)
	written := map[string]bool{}
	for _, dir := range []string{"../pkg", "../cmd"} {
		err := filepath.Walk(dir, func(path string, info os.FileInfo, err error) error {
			if err != nil || info.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			raw, err := os.ReadFile(path)
			for _, m := range eventInCode.FindAllStringSubmatch(string(raw), -1) {
				written[m[1]+m[2]+m[3]] = true
			}
			return err
		})
		c.Assert(err, qt.IsNil)
	}
	page, err := os.ReadFile("OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	named := eventInPage.FindAllStringSubmatch(string(page), -1)
	c.Assert(len(named) > 10, qt.IsTrue)
	for _, m := range named {
		if name := m[1] + m[2]; !notEvents[name] {
			c.Check(written[name], qt.IsTrue, qt.Commentf("no code writes the event %q", name))
		}
	}
}
