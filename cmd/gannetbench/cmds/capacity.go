package cmds

import (
	"fmt"
	"io"

	"github.com/gannetwell/gannetwell/pkg/bench/capacity"
)

type capacityCommand struct {
	JSON bool `long:"json" description:"Print one JSON array"`

	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	slopes, err := capacity.Run()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.stdout, slopes)
	}
	for _, s := range slopes {
		_, _ = fmt.Fprintf(c.stdout, "%-18s %-20s %10.3f %s + %.5f a %s (off by at most %.0f%%)\n",
			s.Name, s.Role, s.Intercept, s.YUnit, s.Slope, s.XUnit, 100*s.Residual)
		for i := range s.X {
			_, _ = fmt.Fprintf(c.stdout, "    %6.0f: %.3f\n", s.X[i], s.Y[i])
		}
	}
	return nil
}
