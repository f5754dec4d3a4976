package cmds

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/cli"
	"github.com/gannetwell/gannetwell/service/api"
)

// jobCommands query the job service, for which --entry is the metrics address of an entry.
func jobCommands(c *console) []subcommand {
	return []subcommand{
		{name: "show", short: "Show a job", long: "Shows what callers are told of a job, and which entry answers for it.\n\nExample:\n  gannetctl --entry http://10.1.0.9:9464 job show r-u6wsjnb 5c0e7a21d94b36f8", data: &jobShowCommand{console: c}},
	}
}

func poolCommands(c *console) []subcommand {
	return []subcommand{
		{name: "list", short: "List pools", long: "Lists the pools of the job service: workers, processors in use and asked for, in thousandths of a core.\n\nExample:\n  gannetctl --entry http://10.1.0.9:9464 pool list", data: &poolListCommand{console: c}},
	}
}

func ownerCommands(c *console) []subcommand {
	return []subcommand{
		{name: "list", short: "List owners", long: "Lists which entry owns the shard of each pool, and how often that has changed.\n\nExample:\n  gannetctl --entry http://10.1.0.9:9464 owner list", data: &ownerListCommand{console: c}},
	}
}

func accountCommands(c *console) []subcommand {
	return []subcommand{
		{name: "list", short: "List client accounts", long: "Lists the client accounts of the job service: what each has been promised in jobs a second, its limit in thousandths of a core and MB, and what runs, is wanted and may run, in parts of the limit and summed over the pools.\n\nExample:\n  gannetctl --entry http://10.1.0.9:9464 account list", data: &accountListCommand{console: c}},
		{name: "show", short: "Show a client account", long: "Shows a client account: fingerprints of its keys, its limit, and what it has in each pool.\n\nExample:\n  gannetctl --entry http://10.1.0.9:9464 account show north", data: &accountShowCommand{console: c}},
	}
}

// jsonOption is the flag of commands that can print JSON.
type jsonOption struct {
	JSON bool `long:"json" description:"Print JSON"`
}

type jobShowCommand struct {
	console *console
	jsonOption
	Args struct {
		Queue string `positional-arg-name:"QUEUE"`
		ID    string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *jobShowCommand) Execute([]string) error {
	cl, err := c.console.client()
	if err != nil {
		return err
	}
	job, err := cl.Job(context.Background(), c.Args.Queue, c.Args.ID)
	if err != nil {
		return withExitCode(err)
	}
	if err := c.print(job); err != nil {
		return err
	}
	if job.Outcome != "ok" {
		return cli.WithExitCode(cli.ExitFailed, errors.Errorf("the job's state is %s", job.Outcome))
	}
	return nil
}

func (c *jobShowCommand) print(job api.JobStatus) error {
	if c.JSON {
		return c.console.printJSON(job)
	}
	owner := job.Owner
	if owner == "" {
		owner = "nobody"
	}
	c.console.printf("job %s of queue %s: %s %s\npool %s, owned by %s\n", job.ID, job.Queue, job.Outcome, job.State, job.Pool, owner)
	return nil
}

type poolListCommand struct {
	console *console
	jsonOption
}

// Execute implements flags.Commander.
func (c *poolListCommand) Execute([]string) error {
	shards, err := c.console.shards()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.console.printJSON(shards)
	}
	c.console.printf("%-16s %8s %10s %10s %10s %8s\n", "POOL", "WORKERS", "CPU", "USED", "WAITING", "TASKS")
	for _, s := range shards {
		if !s.Loaded {
			c.console.printf("%-16s %8s\n", s.Pool, "-")
			continue
		}
		c.console.printf("%-16s %8d %10d %10d %10d %8d\n", s.Pool, s.Workers, s.Cpu, s.CpuUsed, s.CpuWaiting, s.TasksWaiting)
	}
	return nil
}

type ownerListCommand struct {
	console *console
	jsonOption
}

// Execute implements flags.Commander.
func (c *ownerListCommand) Execute([]string) error {
	shards, err := c.console.shards()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.console.printJSON(shards)
	}
	c.console.printf("%-16s %6s  %s\n", "POOL", "TERM", "OWNER")
	for _, s := range shards {
		owner := s.Owner
		if owner == "" {
			owner = "-"
		}
		c.console.printf("%-16s %6d  %s\n", s.Pool, s.Term, owner)
	}
	return nil
}

type accountListCommand struct {
	console *console
	jsonOption
}

// Execute implements flags.Commander.
func (c *accountListCommand) Execute([]string) error {
	accounts, err := c.console.accounts()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.console.printJSON(accounts)
	}
	c.console.printf("%-16s %8s %10s %10s %8s %8s %8s\n", "ACCOUNT", "WEIGHT", "CPU", "MEMORY", "RUNNING", "WANTED", "SHARE")
	for _, a := range accounts.Accounts {
		total := api.AccountInPool{}
		for _, p := range a.Pools {
			total.Running += p.Running
			total.Wanted += p.Wanted
			total.Share += p.Share
		}
		c.console.printf("%-16s %8g %10d %10d %8.3f %8.3f %8.3f\n", a.Name, a.Weight, a.Cpu, a.MemoryMb, total.Running, total.Wanted, total.Share)
	}
	return nil
}

type accountShowCommand struct {
	console *console
	jsonOption
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *accountShowCommand) Execute([]string) error {
	accounts, err := c.console.accounts()
	if err != nil {
		return err
	}
	i := slices.IndexFunc(accounts.Accounts, func(a api.AccountStatus) bool { return a.Name == c.Args.Name })
	if i < 0 {
		return cli.WithExitCode(cli.ExitFailed, errors.Errorf("there is no account %s in version %d of the configuration", c.Args.Name, accounts.CatalogVersion))
	}
	a := accounts.Accounts[i]
	if c.JSON {
		return c.console.printJSON(a)
	}
	c.console.printf("account %s, keys %s\npromised %g jobs a second, limit %d thousandths of a core, %d MB, %d accelerators\n",
		a.Name, strings.Join(a.Keys, " "), a.Weight, a.Cpu, a.MemoryMb, a.Gpu)
	c.console.printf("%-16s %8s %8s %8s\n", "POOL", "RUNNING", "WANTED", "SHARE")
	for _, p := range a.Pools {
		share := fmt.Sprintf("%.3f", p.Share)
		if !p.Bound {
			share = "any"
		}
		c.console.printf("%-16s %8.3f %8.3f %8s\n", p.Pool, p.Running, p.Wanted, share)
	}
	return nil
}

// accounts fetches the client accounts and their usage.
func (c *console) accounts() (accounts api.Accounts, err error) {
	cl, err := c.client()
	if err != nil {
		return accounts, err
	}
	accounts, err = cl.Accounts(context.Background())
	return accounts, withExitCode(err)
}

// shards fetches the owner and the load of each shard.
func (c *console) shards() (shards []api.ShardStatus, err error) {
	cl, err := c.client()
	if err != nil {
		return nil, err
	}
	resp, err := cl.Shards(context.Background())
	return resp.Shards, withExitCode(err)
}
