package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/cli"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
	"github.com/gannetwell/gannetwell/service/api"
)

func tableCommands(c *console) []subcommand {
	return []subcommand{
		{name: "get", short: "Print rows", long: "Prints rows as a table file.\n\nExamples:\n  gannetctl table get\n  gannetctl table get --kind pool --name live-rooms", data: &getCommand{console: c}},
		{name: "set", short: "Change columns of a row", long: "Changes columns of one row; values are JSON, or plain text where that is no JSON.\n\nExample:\n  gannetctl table set pool live-rooms max_unavailable=3 --reason 'quiet week'", data: &setCommand{console: c}},
		{name: "edit", short: "Edit rows as a sheet", long: "Shows the rows of a kind as a sheet and takes lines from the standard input: ROW COLUMN VALUE changes a cell, show prints the sheet, save sends all changes as one edit, quit leaves without.\n\nExample:\n  gannetctl table edit pool --reason 'more rooms on Mondays'", data: &sheetCommand{console: c}},
		{name: "apply", short: "Apply a table file", long: "Makes the rows of a file those of the table, in one edit; rows that the file does not name stay as they are. For VMs, columns that control writes are kept.\n\nExample:\n  gannetctl table apply -f _fixtures/aula-pampa.jsonc --reason 'first set-up'", data: &applyCommand{console: c}},
		{name: "diff", short: "Compare a table file with the table", long: "Prints what apply would change; exits with 1 when that is something.\n\nExample:\n  gannetctl table diff -f my-table.jsonc", data: &diffCommand{console: c}},
		{name: "remove", short: "Remove a row", long: "Removes one row.\n\nExample:\n  gannetctl table remove route old-report --reason 'no longer called'", data: &removeCommand{console: c}},
		{name: "history", short: "Print the changes of a row", long: "Prints the changes of one row, the newest first.\n\nExample:\n  gannetctl table history pool live-rooms", data: &historyCommand{console: c}},
		{name: "status", short: "Show which entry has which revision in force", long: "Shows this entry and its peers with the table revision in force at each.\n\nExample:\n  gannetctl table status", data: &statusCommand{console: c}},
	}
}

// rowArgs are the positional arguments that name one row.
type rowArgs struct {
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

type reasonOption struct {
	Reason string `long:"reason" value-name:"TEXT" required:"true" description:"Why, for the audit trail"`
}

type getCommand struct {
	*console `no-flag:"true"`
	Kind     string `long:"kind" value-name:"KIND" description:"Only rows of a kind"`
	Name     string `long:"name" value-name:"NAME" description:"Only rows of a name"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	rows, err := c.fetchRows(c.Kind, c.Name)
	if err != nil {
		return err
	}
	doc, err := table.FormatDocument(rows)
	if err != nil {
		return err
	}
	c.printf("%s\n", doc)
	return nil
}

// fetchRows reads the rows of a kind and name from the entry; an empty string matches all.
func (c *console) fetchRows(kind, name string) (rows []table.StoredRow, err error) {
	cl, err := c.client()
	if err != nil {
		return nil, err
	}
	got, err := cl.Rows(context.Background(), kind, name)
	if err != nil {
		return nil, withExitCode(err)
	}
	for _, r := range got.Rows {
		rows = append(rows, table.StoredRow{Key: table.Key{Kind: schema.Kind(r.Kind), Name: r.Name}, Version: r.Version, Value: r.Value})
	}
	return rows, nil
}

// fetchRow reads one row; a row that does not exist is returned with version 0.
func (c *console) fetchRow(kind, name string) (row table.StoredRow, err error) {
	rows, err := c.fetchRows(kind, name)
	if err != nil || len(rows) == 0 {
		return table.StoredRow{Key: table.Key{Kind: schema.Kind(kind), Name: name}}, err
	}
	return rows[0], nil
}

func newRowChange(row table.StoredRow, value json.RawMessage) api.RowChange {
	return api.RowChange{Kind: string(row.Key.Kind), Name: row.Key.Name, Seen: row.Version, Value: value}
}

type setCommand struct {
	*console `no-flag:"true"`
	reasonOption
	Args struct {
		Kind    string   `positional-arg-name:"KIND" required:"true"`
		Name    string   `positional-arg-name:"NAME" required:"true"`
		Columns []string `positional-arg-name:"COLUMN=VALUE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *setCommand) Execute([]string) error {
	row, err := c.fetchRow(c.Args.Kind, c.Args.Name)
	if err != nil {
		return err
	}
	value := row.Value
	for _, arg := range c.Args.Columns {
		column, text, ok := strings.Cut(arg, "=")
		if !ok {
			return cli.WithExitCode(cli.ExitUsage, errors.Errorf("%q: expected COLUMN=VALUE", arg))
		}
		if value, err = setColumn(value, column, text); err != nil {
			return err
		}
	}
	return c.edit(c.Reason, []api.RowChange{newRowChange(row, value)})
}

// setColumn returns a row with one column replaced; text that is not JSON becomes a string.
func setColumn(row json.RawMessage, column, text string) (json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if len(row) > 0 {
		if err := json.Unmarshal(row, &fields); err != nil {
			return nil, errors.Wrap(err, "decode row")
		}
	}
	value := json.RawMessage(text)
	if !json.Valid(value) {
		value = table.MustValue(text)
	}
	fields[column] = value
	return json.Marshal(fields)
}

type removeCommand struct {
	*console `no-flag:"true"`
	reasonOption
	rowArgs
}

// Execute implements flags.Commander.
func (c *removeCommand) Execute([]string) error {
	row, err := c.fetchRow(c.Args.Kind, c.Args.Name)
	if err != nil {
		return err
	}
	return c.edit(c.Reason, []api.RowChange{newRowChange(row, json.RawMessage("null"))})
}

type historyCommand struct {
	*console `no-flag:"true"`
	rowArgs
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	return c.printAudit(auditQuery{Kind: c.Args.Kind, Name: c.Args.Name, Limit: historyLimit})
}

const historyLimit = 100

type statusCommand struct {
	*console `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	s, err := cl.Status(context.Background())
	if err != nil {
		return withExitCode(err)
	}
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ENTRY\tZONE\tADDRESS\tREVISION\tSTATE\tHEARD")
	for _, e := range s.Entries {
		heard := "never"
		if e.HeardMsAgo >= 0 {
			heard = (time.Duration(e.HeardMsAgo) * time.Millisecond).String() + " ago"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", e.Name, e.Zone, e.Address, e.Revision, entryState(e), heard)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if s.StoreError != "" {
		c.printf("the table service does not answer: %s\n", s.StoreError)
	}
	return nil
}

func entryState(e api.EntryStatus) string {
	switch {
	case e.Stopping:
		return "stopping"
	case !e.Reached:
		return "not reached"
	}
	return "reached"
}
