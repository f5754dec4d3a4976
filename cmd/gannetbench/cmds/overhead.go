package cmds

import (
	"fmt"
	"io"

	"github.com/gannetwell/gannetwell/pkg/bench/overhead"
)

type overheadCommand struct {
	JSON   bool `long:"json" description:"Print one JSON object"`
	Rounds int  `long:"rounds" default:"5" description:"Rounds of each way, in turn"`

	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *overheadCommand) Execute([]string) error {
	o := overhead.DefaultOptions()
	o.Rounds = c.Rounds
	r, err := overhead.Run(o)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.stdout, r)
	}
	_, err = fmt.Fprintf(c.stdout, "p50 direct %.0f us, bare hop %.0f us, through an entry %.0f us (added %.0f us)\np99 direct %.0f us, bare hop %.0f us, through an entry %.0f us\nthroughput direct %.0f/s, bare hop %.0f/s, through an entry %.0f/s (%.2f of the bare hop)\nan entry serves %.0f requests per CPU second\n",
		r.DirectP50Us, r.BaselineP50Us, r.GatewayP50Us, r.AddedP50Us, r.DirectP99Us, r.BaselineP99Us, r.GatewayP99Us,
		r.DirectRPS, r.BaselineRPS, r.GatewayRPS, r.GatewayToBaselineRPS, r.RPSPerCore)
	return err
}
