package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/bench/standin"
)

type standinCommand struct {
	Deployment string        `long:"deployment" required:"true" value-name:"FILE" description:"Table file of the deployment"`
	Listen     string        `long:"listen" default:"127.0.0.1:7000" description:"Address of the platform's stand-in"`
	Table      string        `long:"table" required:"true" value-name:"FILE" description:"Where to write the table file with the addresses of the backend servers that run here"`
	Latency    time.Duration `long:"latency" default:"1ms" description:"Of each call of the platform"`
	ListLag    time.Duration `long:"list-lag" default:"1s" description:"Of the VM list"`
	RebootTime time.Duration `long:"reboot-time" default:"2s" description:"Of a VM"`
	Seed       uint64        `long:"seed" default:"1" description:"Seed of the faults' chances"`

	stdout io.Writer
}

const tableFileMode = 0o644

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) error {
	s, err := standin.Start(c.Deployment, standin.Options{
		Listen: c.Listen, Seed: c.Seed, Latency: c.Latency, ListLag: c.ListLag, RebootTime: c.RebootTime,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	doc, err := s.Document()
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Table, doc, tableFileMode); err != nil {
		return errors.Wrap(err, "write table file")
	}
	_, _ = fmt.Fprintf(c.stdout, "platform of %s; apply %s to fill the table\n", s.Name, c.Table)
	for _, zone := range s.Zones() {
		_, _ = fmt.Fprintf(c.stdout, "  entries in %s: platform.url %s\n", zone, s.URL(zone))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
