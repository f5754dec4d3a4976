// Package cmds holds the subcommands of gannetwelld. They load the settings and run an
// entry of the request path (pkg/entry) or of the job service (pkg/node).
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/cli"
	"github.com/gannetwell/gannetwell/pkg/config"
	"github.com/gannetwell/gannetwell/pkg/entry"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// New returns the gannetwelld program.
func New(stdout, stderr io.Writer) *cli.Program {
	return &cli.Program{
		Name: "gannetwelld", Summary: "The entry daemon: takes callers' requests to backend servers and keeps the fleet.",
		Stdout: stdout, Stderr: stderr,
		AddCommands: func(p *flags.Parser) error {
			if _, err := p.AddCommand("run", "Run the daemon",
				"Runs the daemon until SIGTERM or SIGINT, which begins a planned stop; a second one cuts it short.\n\nExample:\n  gannetwelld run --config /etc/gannetwell/entry.jsonc",
				&runCommand{stdout: stdout, stderr: stderr}); err != nil {
				return err
			}
			if _, err := p.AddCommand("serve", "Run an entry of the job service",
				"Runs an entry of the job service on the users' platform until SIGTERM or SIGINT, which begins a planned stop.\n\nExample:\n  gannetwelld serve --config /etc/gannetwell/settings.jsonc",
				&serveCommand{stdout: stdout}); err != nil {
				return err
			}
			_, err := p.AddCommand("check", "Check a settings file",
				"Checks a settings file without starting anything; exits with 3 when it is not valid.\n\nExample:\n  gannetwelld check --config /etc/gannetwell/entry.jsonc",
				&checkCommand{stdout: stdout})
			return err
		},
	}
}

type configOption struct {
	Config string `long:"config" short:"c" required:"true" value-name:"FILE" description:"Settings, JSON with comments"`
}

func (o configOption) load() (s schema.Settings, err error) {
	err = config.LoadFile(o.Config, config.TargetSettings, &s)
	if errors.As(err, new(config.ErrInvalid)) {
		err = cli.WithExitCode(cli.ExitInvalid, err)
	}
	return s, err
}

type checkCommand struct {
	configOption
	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "%s: valid settings of entry %s in zone %s\n", c.Config, s.Name, s.Zone)
	return err
}

type runCommand struct {
	configOption
	stdout, stderr io.Writer
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(string(s.LogLevel))
	if err != nil {
		return errors.Wrap(err, "log_level")
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(c.stderr).Level(level).With().Timestamp().Logger()
	e, err := entry.New(s, entry.WithLogger(log))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopOnSignal(e.Stop, cancel)
	return e.Run(ctx)
}

// stopOnSignal calls stop at the first signal and force at the second.
func stopOnSignal(stop, force func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		force()
	}()
}
