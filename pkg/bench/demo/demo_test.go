package demo_test

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/bench/demo"
)

var deadlines = regexp.MustCompile(`"deadline_ms": \d+`)

// TestDemo runs the demo on one deployment and checks that nothing was violated.
// Deadlines are long, so that the result does not depend on the machine's speed.
func TestDemo(t *testing.T) {
	src, err := os.ReadFile("../../../_fixtures/aula-pampa.jsonc")
	qt.Assert(t, err, qt.IsNil)
	file := filepath.Join(t.TempDir(), "aula-pampa.jsonc")
	qt.Assert(t, os.WriteFile(file, deadlines.ReplaceAll(src, []byte(`"deadline_ms": 50000`)), 0o600), qt.IsNil)

	o := demo.DefaultOptions("")
	o.Deployments, o.Duration, o.Scale = []string{file}, 5*time.Second, 0.2
	sum, err := demo.Run(context.Background(), o)
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	c.Check(sum.HasViolations(), qt.IsFalse, qt.Commentf("%+v %q", sum.Report, sum.Details))
	c.Check(sum.WaveDone, qt.IsTrue)
	c.Check(sum.OnceRequests > 0, qt.IsTrue)
	c.Check(sum.Edits > 0, qt.IsTrue)
}
