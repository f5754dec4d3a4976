package cmds

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/cli"
	"github.com/gannetwell/gannetwell/pkg/config"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
	"github.com/gannetwell/gannetwell/service/api"
)

type fileOption struct {
	File string `long:"file" short:"f" required:"true" value-name:"FILE" description:"Table file, JSON with comments"`
}

func (o fileOption) rows() (rows []table.StoredRow, err error) {
	src, err := os.ReadFile(o.File)
	if err != nil {
		return nil, err
	}
	rows, err = table.ParseDocument(o.File, src)
	if errors.As(err, new(config.ErrInvalid)) {
		err = cli.WithExitCode(cli.ExitInvalid, err)
	}
	return rows, err
}

type checkCommand struct {
	*console `no-flag:"true"`
	fileOption
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	rows, err := c.rows()
	if err != nil {
		return err
	}
	snap, err := table.Load(0, rows)
	if err != nil {
		return err
	}
	if problems := snap.Check(); len(problems) > 0 {
		return cli.WithExitCode(cli.ExitInvalid, table.ErrRejected{Problems: problems})
	}
	c.printf("%s: valid, %d rows\n", c.File, len(rows))
	return nil
}

type applyCommand struct {
	*console `no-flag:"true"`
	reasonOption
	fileOption
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	changes, err := c.diffTable(c.fileOption)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		c.printf("the table is as the file says\n")
		return nil
	}
	return c.edit(c.Reason, changes)
}

// diffTable returns the changes that bring the table to the state of a file.
func (c *console) diffTable(o fileOption) (changes []api.RowChange, err error) {
	desired, err := o.rows()
	if err != nil {
		return nil, err
	}
	current := map[table.Key]table.StoredRow{}
	rows, err := c.fetchRows("", "")
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		current[r.Key] = r
	}
	for _, w := range desired {
		old, ok := current[w.Key]
		value := w.Value
		if ok {
			if value, err = keepControllerColumns(w.Key.Kind, old.Value, w.Value); err != nil {
				return nil, err
			}
		}
		if ok && bytes.Equal(old.Value, value) {
			continue
		}
		changes = append(changes, api.RowChange{Kind: string(w.Key.Kind), Name: w.Key.Name, Seen: old.Version, Value: value})
	}
	return changes, nil
}

// keepControllerColumns returns the desired row of a VM or wave with the current values of
// the columns that the fleet controller owns.
func keepControllerColumns(kind schema.Kind, old, desired json.RawMessage) (json.RawMessage, error) {
	switch kind {
	case schema.KindVM:
		o, w := table.MustParse[schema.VM](old), table.MustParse[schema.VM](desired)
		rack, address := w.Rack, w.Address
		w = o
		w.Rack, w.Address = rack, address
		return table.MustValue(w), nil
	case schema.KindWave:
		o, w := table.MustParse[schema.Wave](old), table.MustParse[schema.Wave](desired)
		w.StartedAtMs, w.FinishedAtMs = o.StartedAtMs, o.FinishedAtMs
		return table.MustValue(w), nil
	}
	return desired, nil
}

type diffCommand struct {
	*console `no-flag:"true"`
	fileOption
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	changes, err := c.diffTable(c.fileOption)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		c.printf("no difference\n")
		return nil
	}
	for _, ch := range changes {
		row, err := c.fetchRow(ch.Kind, ch.Name)
		if err != nil {
			return err
		}
		c.printColumns(table.Key{Kind: schema.Kind(ch.Kind), Name: ch.Name}, row.Value, ch.Value)
	}
	return cli.WithExitCode(cli.ExitFailed, errors.Errorf("%d rows differ", len(changes)))
}

// printColumns prints the columns that differ between two values of a row.
func (c *console) printColumns(key table.Key, before, after json.RawMessage) {
	oldColumns, newColumns := decodeColumns(before), decodeColumns(after)
	switch {
	case len(oldColumns) == 0:
		c.printf("%s: new row %s\n", key, after)
		return
	case len(newColumns) == 0:
		c.printf("%s: removed, was %s\n", key, before)
		return
	}
	for _, column := range sortedKeys(newColumns) {
		if !bytes.Equal(oldColumns[column], newColumns[column]) {
			c.printf("%s: %s: %s -> %s\n", key, column, oldColumns[column], newColumns[column])
		}
	}
}

func decodeColumns(row json.RawMessage) (fields map[string]json.RawMessage) {
	_ = json.Unmarshal(row, &fields) // an absent row has no columns
	return fields
}
