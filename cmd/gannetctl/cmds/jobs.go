package cmds

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/cli"
	"github.com/gannetwell/gannetwell/service/api"
)

// jobCommands ask about the job service; --entry names the metrics address of an entry.
func jobCommands(c *console) []sub {
	return []sub{
		{name: "show", short: "Show a job", long: "Shows what callers are told of a job, and which entry answers for it.\n\nExample:\n  gannetctl --entry http://10.1.0.9:9464 job show r-u6wsjnb 5c0e7a21d94b36f8", data: &jobShowCommand{console: c}},
	}
}

func poolCommands(c *console) []sub {
	return []sub{
		{name: "list", short: "List pools", long: "Lists the pools of the job service: workers, processors in use and asked for, in thousandths of a core.\n\nExample:\n  gannetctl --entry http://10.1.0.9:9464 pool list", data: &poolListCommand{console: c}},
	}
}

func ownerCommands(c *console) []sub {
	return []sub{
		{name: "list", short: "List owners", long: "Lists which entry owns the shard of each pool, and how often that has changed.\n\nExample:\n  gannetctl --entry http://10.1.0.9:9464 owner list", data: &ownerListCommand{console: c}},
	}
}

type jobShowCommand struct {
	console *console
	Args    struct {
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
		return exitOf(err)
	}
	owner := job.Owner
	if owner == "" {
		owner = "nobody"
	}
	c.console.printf("job %s of queue %s: %s %s\npool %s, owned by %s\n", job.ID, job.Queue, job.Outcome, job.State, job.Pool, owner)
	if job.Outcome != "ok" {
		return cli.Exit(cli.ExitFailed, errors.Errorf("the job's state is %s", job.Outcome))
	}
	return nil
}

type poolListCommand struct{ console *console }

// Execute implements flags.Commander.
func (c *poolListCommand) Execute([]string) error {
	shards, err := c.console.shards()
	if err != nil {
		return err
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

type ownerListCommand struct{ console *console }

// Execute implements flags.Commander.
func (c *ownerListCommand) Execute([]string) error {
	shards, err := c.console.shards()
	if err != nil {
		return err
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

// shards asks an entry who owns each shard and how busy it is.
func (c *console) shards() (shards []api.ShardStatus, err error) {
	cl, err := c.client()
	if err != nil {
		return nil, err
	}
	answer, err := cl.Shards(context.Background())
	return answer.Shards, exitOf(err)
}
