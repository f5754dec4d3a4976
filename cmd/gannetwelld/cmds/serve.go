package cmds

import (
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/gannetwell/gannetwell/pkg/cli"
	"github.com/gannetwell/gannetwell/pkg/config"
	"github.com/gannetwell/gannetwell/pkg/node"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/platform"
)

const (
	// logBufferLines is how many lines wait for the output; when it is slower, the oldest are dropped and counted.
	logBufferLines = 4096
	// heapFraction is the part of the memory limit that the collector tries to stay under; the rest is for stacks and buffers.
	heapFraction = 0.6
	// gcPercent trades memory, of which there is enough, for processor time.
	gcPercent = 200
)

// serveCommand runs an entry of the job service on the users' platform.
type serveCommand struct {
	Config string `long:"config" short:"c" value-name:"FILE" description:"Settings, JSON with comments; without it the file that the platform names"`

	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) (err error) {
	if c.Config == "" {
		if c.Config, err = platform.SettingsFile(); err != nil {
			return cli.WithExitCode(cli.ExitInvalid, err)
		}
	}
	var s schema.ServiceSettings
	err = config.LoadFile(c.Config, config.TargetService, &s)
	if errors.As(err, new(config.ErrInvalid)) {
		return cli.WithExitCode(cli.ExitInvalid, err)
	}
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(string(s.LogLevel))
	if err != nil {
		return errors.Wrap(err, "log_level")
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	out := diode.NewWriter(c.stdout, logBufferLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(c.stdout, `{"level":"warn","event":"log_lines_dropped","count":%d}`+"\n", missed)
	})
	defer func() {
		time.Sleep(10 * time.Millisecond) // the writer takes what is left
		_ = out.Close()
	}()
	log := zerolog.New(out).Level(level).With().Timestamp().Logger()
	runtime.GOMAXPROCS(maxProcs(s.CpuShare))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMb) * (1 << 20) * heapFraction))
	client := platform.New(s.Store.Address, s.Machines.Address, s.Advice)
	n := node.New(s, client, node.Source{
		CatalogTable: platform.TableOperator, CatalogKey: platform.KeyCatalog, WorkerTable: platform.TableWorkers,
		DecodeCatalog: platform.DecodeCatalog, DecodeWorker: platform.DecodeWorker,
		DecodeEvacuation: platform.DecodeEvacuation, DecodeWave: platform.DecodeWave, EncodeWave: platform.EncodeWaveReport,
	}, log)
	handleSignals(n.Stop, func() { c.reload(s, log) })
	return n.Run(node.Handlers{Callers: platform.Callers(n), Readiness: platform.Readiness(n)})
}

// maxProcs is how many maxProcs an entry runs on at once: no more than its
// share. On more it is only throttled, and its scheduler spends time on passing
// work between them: an owner of 400 workers took 321 us for each start on eight
// maxProcs and 235 us on two.
func maxProcs(cpuShare float64) int { return max(1, int(math.Ceil(cpuShare))) }

// reload reads the settings again. An entry takes them at its start only, since
// its addresses and limits are those of its process; a change is told, so that
// someone restarts it.
func (c *serveCommand) reload(current schema.ServiceSettings, log zerolog.Logger) {
	var s schema.ServiceSettings
	err := config.LoadFile(c.Config, config.TargetService, &s)
	log.Info().Str("event", "reload").Bool("valid", err == nil).Bool("restart_needed", err == nil && !reflect.DeepEqual(s, current)).Err(err).Send()
}

// handleSignals calls stop at SIGTERM or SIGINT, and reload at SIGHUP.
func handleSignals(stop, reload func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				reload()
				continue
			}
			stop()
		}
	}()
}
