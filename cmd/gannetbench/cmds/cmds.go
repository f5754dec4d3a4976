// Package cmds holds the subcommands of gannetbench. Each parses its flags, calls a
// package below pkg/bench and prints the result as text or JSON.
package cmds

import (
	"encoding/json"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/gannetwell/gannetwell/pkg/cli"
)

// New returns the gannetbench program.
func New(stdout, stderr io.Writer) *cli.Program {
	return &cli.Program{
		Name: "gannetbench", Summary: "Stand-ins for the platform and backend servers, a demo, and experiments.",
		Stdout: stdout, Stderr: stderr,
		AddCommands: func(p *flags.Parser) error {
			commands := []struct {
				name, short, long string
				command           flags.Commander
			}{
				{"demo", "Run whole deployments in one process", "Runs both users' deployments, or those of --deployment, under load with edits, a maintenance wave, the stop of an entry and the replacement of another. Exits with 1 when a counter of harm is not zero.\n\nExamples:\n  gannetbench demo\n  gannetbench demo --deployment _fixtures/aula-pampa.jsonc --for 10s --json", &demoCommand{stdout: stdout, stderr: stderr}},
				{"standin", "Run the stand-ins of one deployment", "Runs the platform's stand-in over HTTP and a backend server for each VM, until SIGINT or SIGTERM. POST a JSON array of rules to /faults to bring faults about.\n\nExample:\n  gannetbench standin --deployment _fixtures/aula-pampa.jsonc --table /tmp/table.json", &standinCommand{stdout: stdout}},
				{"overhead", "Measure what the request path adds", "Measures latency and throughput of the same requests directly, through a bare net/http hop and through an entry, in one run.\n\nExample:\n  gannetbench overhead --json", &overheadCommand{stdout: stdout}},
				{"claims", "Measure ways of claiming keys", "Offers claims of keys to the table service's stand-in at its real limit of 100 writes a second, grouped and one by one.\n\nExample:\n  gannetbench claims --json", &claimsCommand{stdout: stdout}},
				{"load", "Measure the request path under a fault", "Runs a scenario against the product and against the plain baseline, in one process.\n\nExamples:\n  gannetbench load --list\n  gannetbench load --scenario slow-server --json", &loadCommand{stdout: stdout}},
				{"report", "Make a page of saved runs", "Makes one HTML page with plots from runs that load --json printed.\n\nExample:\n  gannetbench load --scenario slow-server --json > slow.json\n  gannetbench report --out report.html slow.json", &reportCommand{stdout: stdout}},
				{"late", "Tell what made jobs late", "Counts the jobs of a log by when they were first submitted and by what took most of the time of those that were late.\n\nExample:\n  gannetbench late --target 600ms --stretch 1.6 entries.log", &lateCommand{stdout: stdout}},
				{"capacity", "Measure what each role costs by size", "Measures the costs that docs/CAPACITY.md works with and fits a line to each.\n\nExample:\n  gannetbench capacity --json", &capacityCommand{stdout: stdout}},
				{"soak", "Disturb the job service as separate processes", "Runs entries of the job service and a stand-in of the platform as processes on loopback addresses, disturbs them, and checks what workers and callers saw. A failed seed keeps its logs and prints the command that plays it again; exits with 1.\n\nExample:\n  gannetbench soak --daemon bin/gannetwelld --seeds 10 --for 30s", &soakCommand{stdout: stdout}},
				{"soak-platform", "Run the platform of a soak", "Serves the stand-in of the platform that soak starts, until the standard input ends. Reads commands from it, and writes what workers do as JSON lines.", &soakPlatformCommand{stdout: stdout}},
			}
			for _, c := range commands {
				if _, err := p.AddCommand(c.name, c.short, c.long, c.command); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
