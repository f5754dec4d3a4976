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
	// logBufferLines is the capacity of the log buffer, in lines; when output is slower, the oldest are dropped and counted.
	logBufferLines = 4096
	// heapFraction is the part of the memory limit given to the garbage collector as its soft limit; the rest is for stacks and buffers.
	heapFraction = 0.6
	// gcPercent is GOGC: above the default, to spend less CPU time on garbage collection.
	gcPercent = 200
)

// serveCommand runs an entry of the job service.
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
		time.Sleep(10 * time.Millisecond) // lets the writer flush the buffered lines
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
	return n.Run(node.Handlers{JobAPI: platform.JobAPIHandler(n), Readiness: platform.ReadinessHandler(n)})
}

// maxProcs returns the GOMAXPROCS value for a CPU share, in cores. With more
// processors than its share the process is throttled and loses time to scheduling.
func maxProcs(cpuShare float64) int { return max(1, int(math.Ceil(cpuShare))) }

// reload validates the settings file and logs whether it differs from the current
// settings. An entry applies settings only at its start, so a change needs a restart.
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
