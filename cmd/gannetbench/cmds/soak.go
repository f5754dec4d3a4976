package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/bench/soak"
	"github.com/gannetwell/gannetwell/pkg/cli"
)

type soakCommand struct {
	Seed    uint64        `long:"seed" default:"1" description:"First seed"`
	Seeds   int           `long:"seeds" default:"1" description:"Number of seeds, played one after the other"`
	Entries int           `long:"entries" default:"5" description:"Number of entries, a process each"`
	Workers int           `long:"workers" default:"12" description:"Number of workers"`
	Callers int           `long:"callers" default:"8" description:"Number of callers"`
	Length  time.Duration `long:"for" default:"20s" description:"Time with disturbances, without the time to settle"`
	Daemon  string        `long:"daemon" value-name:"FILE" required:"true" description:"The program gannetwelld"`
	Dir     string        `long:"dir" value-name:"DIR" default:"runs" description:"Where settings and logs of failed seeds are kept"`
	Planted string        `long:"planted" choice:"no_fencing" choice:"lost_writes" choice:"early_forget" choice:"cut_lists" description:"A fault of the stand-in that the checker has to find"`
	Outages bool          `long:"outages" description:"Add long outages of the table service, each right after jobs of many short tasks"`
	Moves   bool          `long:"moves" description:"Have half of the workers in a second pool, and configurations that send the queue there and back"`

	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	bench, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find this program")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		broken, err := c.play(ctx, bench, seed)
		if err != nil {
			return err
		}
		if broken > 0 {
			failed++
		}
	}
	_, _ = fmt.Fprintf(c.stdout, "%d of %d seeds failed\n", failed, c.Seeds)
	if failed > 0 {
		return cli.WithExitCode(cli.ExitFailed, errors.New("promises were broken"))
	}
	return nil
}

// play plays one seed and returns the number of broken promises.
func (c *soakCommand) play(ctx context.Context, bench string, seed uint64) (broken int, err error) {
	dir := filepath.Join(c.Dir, "soak-"+strconv.FormatUint(seed, 10))
	if err := os.RemoveAll(dir); err != nil {
		return 0, errors.Wrap(err, "remove former logs")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, errors.Wrap(err, "create directory of logs")
	}
	log, err := os.Create(filepath.Join(dir, "soak.log"))
	if err != nil {
		return 0, errors.Wrap(err, "create log")
	}
	defer log.Close()
	r, err := soak.Run(ctx, soak.Options{
		Seed: seed, Entries: c.Entries, Workers: c.Workers, Callers: c.Callers, Length: c.Length,
		Daemon: c.Daemon, Bench: bench, Dir: dir, Planted: soak.Planted(c.Planted), Outages: c.Outages, Moves: c.Moves, Log: log,
	})
	if err != nil {
		return 0, err
	}
	_, _ = fmt.Fprintf(c.stdout, "seed %d: %d broken, %d disturbances, %d jobs, %d starts, %d of them repeats, %d checks, %.1f process-minutes, %s\n",
		seed, len(r.Broken), r.Disturbances, r.Jobs, r.Starts, r.Repeats, r.Checks, r.ProcessMinutes, r.Took.Round(time.Second))
	for _, line := range r.Broken {
		_, _ = fmt.Fprintln(c.stdout, "  ", line)
	}
	if len(r.Broken) > 0 {
		_, _ = fmt.Fprintf(c.stdout, "   logs in %s; again: gannetbench soak --seed %d --entries %d --workers %d --callers %d --for %s --daemon FILE\n",
			dir, seed, c.Entries, c.Workers, c.Callers, c.Length)
		return len(r.Broken), nil
	}
	return 0, errors.Wrap(os.RemoveAll(dir), "remove logs")
}

type soakPlatformCommand struct {
	Seed    uint64 `long:"seed" default:"1" description:"Seed of the faults"`
	Planted string `long:"planted" description:"A fault of the stand-in that the checker has to find"`

	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *soakPlatformCommand) Execute([]string) error {
	return soak.RunStandin(os.Stdin, c.stdout, c.Seed, soak.Planted(c.Planted))
}
