package cmds

import "context"

func zoneCommands(c *console) []subcommand {
	return []subcommand{
		{name: "list", short: "List zones out of use", long: "Lists the availability zones that the operator has taken out of use: for how long the entry that is asked has known of it, the workers there, and the tasks that run there still.\n\nExample:\n  gannetctl --entry http://10.1.0.9:9464 zone list", data: &zoneListCommand{console: c}},
	}
}

type zoneListCommand struct {
	console *console
	jsonOption
}

// Execute implements flags.Commander.
func (c *zoneListCommand) Execute([]string) error {
	cl, err := c.console.client()
	if err != nil {
		return err
	}
	zones, err := cl.Zones(context.Background())
	if err != nil {
		return withExitCode(err)
	}
	if c.JSON {
		return c.console.printJSON(zones)
	}
	if len(zones.Zones) == 0 {
		c.console.printf("all zones are in use\n")
		return nil
	}
	c.console.printf("%-16s %8s %8s %8s\n", "ZONE", "OUT FOR", "WORKERS", "TASKS")
	for _, z := range zones.Zones {
		c.console.printf("%-16s %7.0fs %8d %8d\n", z.Zone, z.OutForS, z.Workers, z.Tasks)
		if !z.Complete {
			c.console.printf("%-16s some owners did not answer: there may be more\n", "")
		}
	}
	return nil
}
