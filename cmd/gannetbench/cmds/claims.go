package cmds

import (
	"fmt"
	"io"
	"time"

	"github.com/gannetwell/gannetwell/pkg/bench/claims"
)

type claimsCommand struct {
	JSON bool          `long:"json" description:"Print one JSON array"`
	For  time.Duration `long:"for" default:"4s" description:"Length of each measurement"`

	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *claimsCommand) Execute([]string) error {
	results := claims.Run([]int{20, 100, 500, 2000}, c.For)
	if c.JSON {
		return printJSON(c.stdout, results)
	}
	for _, r := range results {
		_, _ = fmt.Fprintf(c.stdout, "%-10s offered %4d/s: claimed %6.0f/s, refused %6.0f/s, table writes %6.1f/s, added p50 %5.1f ms, p99 %6.1f ms\n",
			r.Method, r.Offered, r.Claimed, r.Refused, r.WritesPerS, r.AddedP50Ms, r.AddedP99Ms)
	}
	return nil
}
