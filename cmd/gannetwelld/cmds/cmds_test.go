package cmds_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/cmd/gannetwelld/cmds"
)

// TestScripts runs each file of testdata. The input is a settings file, or the command
// line of "run". Settings of "serve" must be invalid, so that no daemon starts.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		name := filepath.Join(t.TempDir(), "entry.jsonc")
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			args := []string{"check", "-c", name}
			if d.Cmd == "serve" {
				args[0] = "serve"
			}
			if d.Cmd == "run" {
				args = strings.Fields(d.Input)
			} else {
				qt.Assert(t, os.WriteFile(name, []byte(d.Input), 0o600), qt.IsNil)
			}
			var out bytes.Buffer
			code := cmds.New(&out, &out).Run(args)
			return strings.ReplaceAll(out.String(), name, "entry.jsonc") + fmt.Sprintf("exit %d\n", code)
		})
	})
}
