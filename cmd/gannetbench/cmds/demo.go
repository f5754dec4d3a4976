package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/bench/demo"
	"github.com/gannetwell/gannetwell/pkg/cli"
)

type demoCommand struct {
	Deployments []string      `long:"deployment" value-name:"FILE" description:"Table file of a deployment; may be repeated; both users' without"`
	For         time.Duration `long:"for" default:"20s" description:"How long the load lasts, at least until the wave is done"`
	Seed        uint64        `long:"seed" default:"1" description:"Seed of the load and of the stand-ins' chances"`
	Scale       float64       `long:"scale" default:"1" description:"Factor of the load"`
	JSON        bool          `long:"json" description:"Print one JSON object"`
	Log         string        `long:"log" value-name:"FILE" description:"Write the daemons' log lines to a file"`

	stdout, stderr io.Writer
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	o := demo.DefaultOptions(".")
	if len(c.Deployments) > 0 {
		o.Deployments = c.Deployments
	}
	o.Duration, o.Seed, o.Scale, o.Progress = c.For, c.Seed, c.Scale, c.stderr
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return errors.Wrap(err, "create log file")
		}
		defer func() { _ = f.Close() }()
		o.Log = zerolog.New(f).With().Timestamp().Logger()
	}
	sum, err := demo.Run(ctx, o)
	if c.JSON {
		if err := printJSON(c.stdout, sum); err != nil {
			return err
		}
	} else {
		c.print(sum)
	}
	if err == nil && sum.HasViolations() {
		err = cli.WithExitCode(cli.ExitFailed, errors.New("a counter of harm is not zero"))
	}
	return err
}

// print writes the summary as text.
func (c *demoCommand) print(s demo.Summary) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(c.stdout, format+"\n", args...) }
	p("")
	p("requests            %d, answered %d, not run %d", s.Requests, s.Answered, s.NotRun)
	p("latency             p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms", s.P50Ms, s.P99Ms, s.P999Ms)
	p("edits               %d, in force everywhere within %.0f ms, reverted %d times", s.Edits, s.ConfigInForceMs, s.ConfigReverts)
	p("maintenance wave    done %v, in %.1f s, moves %d, buffer %d VMs", s.WaveDone, s.WaveSeconds, s.Moves, s.BufferVMs)
	p("draining servers    last new request after %.0f ms", s.NewWorkAfterLeavingMs)
	p("harm                wrong answers %d, truncated %d, cut off %d", s.WrongAnswers, s.Truncated, s.CutOff)
	p("                    once-requests %d, ran twice %d; reported not run but ran %d", s.OnceRequests, s.OnceRanTwice, s.NotRunButRan)
	p("                    budget violations %d, VMs in two pools %d", s.BudgetViolations, s.VMsInTwoPools)
	for _, d := range s.Details {
		p("  %s", d)
	}
}
