package cmds

import (
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/cli"
	"github.com/gannetwell/gannetwell/pkg/fleet"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
	"github.com/gannetwell/gannetwell/service/api"
)

func waveCommands(c *console) []subcommand {
	setState := func(to schema.WaveState) *setWaveStateCommand { return &setWaveStateCommand{console: c, to: to} }
	return []subcommand{
		{name: "plan", short: "Create a wave without starting it", long: "Creates a wave and shows its order and the budgets that bound it.\n\nExample:\n  gannetctl wave plan kernel-update --pool grades --pool reports --reason 'kernel update'", data: &planCommand{console: c}},
		{name: "start", short: "Start a planned wave", long: "Starts a planned wave.\n\nExample:\n  gannetctl wave start kernel-update --reason 'window is open'", data: setState(schema.WaveStateRunning)},
		{name: "pause", short: "Pause a wave", long: "Takes no further VM; those that drain go back to work, those that reboot finish.\n\nExample:\n  gannetctl wave pause kernel-update --reason 'exam begins early'", data: setState(schema.WaveStatePaused)},
		{name: "resume", short: "Resume a paused wave", long: "Goes on with a paused wave.\n\nExample:\n  gannetctl wave resume kernel-update --reason 'exam is over'", data: setState(schema.WaveStateRunning)},
		{name: "abort", short: "End a wave early", long: "Like pause, but for good.\n\nExample:\n  gannetctl wave abort kernel-update --reason 'bad image'", data: setState(schema.WaveStateAborted)},
		{name: "status", short: "Show waves and their progress", long: "Shows every wave with its progress.\n\nExample:\n  gannetctl wave status", data: &waveStatusCommand{console: c}},
		{name: "list", short: "List the job service's open waves", long: "Lists the open maintenance waves of the job service, the next deadline first: VMs that wait, are being drained, are down and are done, the time since the request, the time allowed, the least time that is still needed, and the limit that this results from: max_down, pool, step or round.\n\nExample:\n  gannetctl --entry http://10.1.0.9:9464 wave list", data: &waveListCommand{console: c}},
	}
}

type waveArg struct {
	Args struct {
		Name string `positional-arg-name:"WAVE" required:"true"`
	} `positional-args:"true"`
}

type planCommand struct {
	*console `no-flag:"true"`
	reasonOption
	waveArg
	Pools       []string `long:"pool" value-name:"POOL" description:"Pool to maintain; may be repeated; all without"`
	MaxParallel int      `long:"max-parallel" description:"At most so many VMs at once over all pools; 0 leaves it to the budgets"`
}

// Execute implements flags.Commander.
func (c *planCommand) Execute([]string) error {
	pools := c.Pools
	if pools == nil {
		pools = []string{}
	}
	wave := schema.Wave{State: schema.WaveStatePlanned, Pools: pools, MaxParallel: c.MaxParallel}
	err := c.edit(c.Reason, []api.RowChange{{Kind: string(schema.KindWave), Name: c.Args.Name, Value: table.MustValue(wave)}})
	if err != nil {
		return err
	}
	snap, err := c.snapshot()
	if err != nil {
		return err
	}
	c.printPlan(snap, wave)
	return nil
}

// snapshot fetches the whole table from the entry.
func (c *console) snapshot() (*table.Snapshot, error) {
	rows, err := c.fetchRows("", "")
	if err != nil {
		return nil, err
	}
	return table.Load(0, rows)
}

// printPlan prints the number of maintenance rounds that each pool's budget requires.
func (c *console) printPlan(snap *table.Snapshot, wave schema.Wave) {
	members := map[string]int{}
	for _, row := range snap.VMs {
		members[row.Value.Pool]++
	}
	for _, name := range snap.Pools.Names() {
		if !fleet.InScope(wave, name) {
			continue
		}
		budget := snap.Pools[name].Value.MaxUnavailable
		if budget == 0 {
			c.printf("pool %s: %d VMs, budget 0: the wave cannot take any of them\n", name, members[name])
			continue
		}
		rounds := (members[name] + budget - 1) / budget
		c.printf("pool %s: %d VMs, %d at once, at least %d rounds of drain, reboot and check\n", name, members[name], budget, rounds)
	}
	if fleet.InScope(wave, "") && members[""] > 0 {
		c.printf("buffer: %d VMs, all at once\n", members[""])
	}
}

// setWaveStateCommand moves a wave to another state.
type setWaveStateCommand struct {
	*console `no-flag:"true"`
	reasonOption
	waveArg
	to schema.WaveState
}

// Execute implements flags.Commander.
func (c *setWaveStateCommand) Execute([]string) error {
	row, err := c.fetchRow(string(schema.KindWave), c.Args.Name)
	if err != nil {
		return err
	}
	if row.Version == 0 {
		return cli.WithExitCode(cli.ExitInvalid, errors.Errorf("there is no wave %q", c.Args.Name))
	}
	wave := table.MustParse[schema.Wave](row.Value)
	if wave.State == schema.WaveStateDone || wave.State == schema.WaveStateAborted {
		return cli.WithExitCode(cli.ExitInvalid, errors.Errorf("wave %q is %s already", c.Args.Name, wave.State))
	}
	wave.State = c.to
	return c.edit(c.Reason, []api.RowChange{newRowChange(row, table.MustValue(wave))})
}

type waveStatusCommand struct {
	*console `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *waveStatusCommand) Execute([]string) error {
	snap, err := c.snapshot()
	if err != nil {
		return err
	}
	for _, name := range snap.Waves.Names() {
		p := fleet.ProgressOf(snap, name)
		c.printf("%s: %s, %d of %d VMs maintained, %d under way, %d left, %d down\n",
			name, snap.Waves[name].Value.State, p.Done, p.Total, p.Current, p.Left(), p.Down)
	}
	return nil
}
