package cmds

import (
	"context"
	"fmt"

	"github.com/gannetwell/gannetwell/service/api"
)

type waveListCommand struct {
	console *console
	jsonOption
}

// Execute implements flags.Commander.
func (c *waveListCommand) Execute([]string) error {
	cl, err := c.console.client()
	if err != nil {
		return err
	}
	waves, err := cl.Waves(context.Background())
	if err != nil {
		return withExitCode(err)
	}
	if c.JSON {
		return c.console.printJSON(waves)
	}
	switch {
	case !waves.Complete:
		c.console.printf("the holder of the fleet operations did not answer: there may be open waves\n")
	case len(waves.Waves) == 0:
		c.console.printf("no wave is open\n")
	default:
		c.console.printf("%-6s %8s %8s %6s %6s %8s %8s %8s  %s\n", "WAVE", "WAITING", "DRAINING", "DOWN", "DONE", "ELAPSED", "WITHIN", "NEEDS", "LIMIT")
	}
	for _, w := range waves.Waves {
		c.console.printf("%-6d %8d %8d %6d %6d %7.0fs %7.0fs %8s  %s\n", w.Wave, w.Waiting, w.Draining, w.Down, w.Done, w.ElapsedS, w.WithinS, waveNeeds(w), waveLimit(w))
	}
	return nil
}

// waveNeeds returns the least time that a wave still needs.
func waveNeeds(w api.WaveStatus) string {
	if w.NeedsS < 0 {
		return "never"
	}
	return fmt.Sprintf("%.0fs", w.NeedsS)
}

// waveLimit names what limits a wave, and says whether it will be late.
func waveLimit(w api.WaveStatus) string {
	limit := w.Limit
	if w.LimitOf != "" {
		limit += " " + w.LimitOf
	}
	if w.AtRisk {
		limit += ", late"
	}
	return limit
}
