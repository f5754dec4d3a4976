package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/bench/scenario"
	"github.com/gannetwell/gannetwell/pkg/cli"
)

type loadCommand struct {
	Scenario string        `long:"scenario" value-name:"NAME" description:"Scenario to run"`
	List     bool          `long:"list" description:"Name the scenarios"`
	JSON     bool          `long:"json" description:"Print one JSON object"`
	Steady   time.Duration `long:"steady" default:"4s" description:"Length of the steady phase"`
	Fault    time.Duration `long:"fault" default:"8s" description:"Length of the phase with the fault"`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the load"`

	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	if c.List {
		for _, name := range scenario.Names() {
			_, _ = fmt.Fprintf(c.stdout, "%-16s %s\n", name, scenario.About(name))
		}
		return nil
	}
	if c.Scenario == "" {
		return cli.WithExitCode(cli.ExitUsage, errors.New("--scenario or --list is needed"))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r, err := scenario.Run(ctx, c.Scenario, scenario.Options{Steady: c.Steady, Fault: c.Fault, Seed: c.Seed})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.stdout, r)
	}
	_, _ = fmt.Fprintf(c.stdout, "%s: offered %.0f/s, capacity %.0f/s\n", r.Scenario, r.OfferedRPS, r.CapacityRPS)
	for _, v := range []scenario.Variant{scenario.VariantProduct, scenario.VariantBaseline} {
		f := r.Variants[v]
		_, _ = fmt.Fprintf(c.stdout, "%-9s goodput %.0f/s, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, backend requests per request %.2f, wrong %d, once requests run twice %d, reported not run but ran %d, cut off %d, cut off by the fault %d, RSS %.0f MB\n",
			v, f.GoodputRPS, f.P50Ms, f.P99Ms, f.P999Ms, f.RetriesRatio, f.WrongAnswers, f.OnceRanTwice, f.NotRunButRan, f.CutOff, f.CutOffByFault, f.RSSMB)
		for name, cl := range f.ByClass {
			_, _ = fmt.Fprintf(c.stdout, "  %-12s %6d sent, %6d good, %6d shed, p50 %.1f ms, p99 %.1f ms, steady p99 %.1f ms\n", name, cl.Requests, cl.Good, cl.Shed, cl.P50Ms, cl.P99Ms, cl.SteadyP99Ms)
		}
		for reason, n := range f.NotRunReasons {
			_, _ = fmt.Fprintf(c.stdout, "  not run, %s: %d\n", reason, n)
		}
		for _, d := range f.Details[:min(3, len(f.Details))] {
			_, _ = fmt.Fprintln(c.stdout, "   ", d)
		}
	}
	return nil
}
