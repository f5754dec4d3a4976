package cmds

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/bench/report"
)

type reportCommand struct {
	Out  string `long:"out" default:"report.html" value-name:"FILE" description:"Page to write"`
	Args struct {
		Runs []string `positional-arg-name:"RUN" required:"1"`
	} `positional-args:"true"`

	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) (err error) {
	runs, err := report.Read(c.Args.Runs)
	if err != nil {
		return err
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return errors.Wrap(err, "create page")
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	if err := report.Write(f, runs); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "%s: %d scenarios\n", c.Out, len(runs))
	return err
}
