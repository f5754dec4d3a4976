package cmds

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gannetwell/gannetwell/pkg/bench/lateness"
)

type lateCommand struct {
	Target  time.Duration `long:"target" default:"600ms" description:"Target latency of the queues"`
	Stretch float64       `long:"stretch" default:"1.6" description:"Factor on a job's work that is in time besides"`
	Window  time.Duration `long:"window" default:"4s" description:"Length of the spans of time that jobs are counted in"`
	Args    struct {
		Log string `positional-arg-name:"LOG" description:"Log lines of all entries, each as it was written or behind a time in seconds and a name"`
	} `positional-args:"yes" required:"yes"`

	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *lateCommand) Execute([]string) error {
	f, err := os.Open(c.Args.Log)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	windows, err := lateness.CountByWindow(f, lateness.Objective{Target: c.Target, Stretch: c.Stretch}, c.Window)
	if err != nil {
		return err
	}
	total := lateness.Window{Counts: map[lateness.Cause]int{}}
	c.printRow("from", func(cause lateness.Cause) string { return string(cause) })
	for _, w := range windows {
		c.printRow(w.From.String(), func(cause lateness.Cause) string { return fmt.Sprint(w.Counts[cause]) })
		for cause, n := range w.Counts {
			total.Counts[cause] += n
		}
	}
	c.printRow("all", func(cause lateness.Cause) string { return fmt.Sprint(total.Counts[cause]) })
	return nil
}

// printRow prints one table row with a cell for each cause.
func (c *lateCommand) printRow(name string, cell func(lateness.Cause) string) {
	_, _ = fmt.Fprintf(c.stdout, "%-8s", name)
	for _, cause := range lateness.Causes {
		_, _ = fmt.Fprintf(c.stdout, " %13s", cell(cause))
	}
	_, _ = fmt.Fprintln(c.stdout)
}
