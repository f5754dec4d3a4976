package cmds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/cli"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
	"github.com/gannetwell/gannetwell/service/api"
)

type sheetCommand struct {
	*console `no-flag:"true"`
	reasonOption
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *sheetCommand) Execute([]string) error {
	rows, err := c.fetchRows(c.Args.Kind, "")
	if err != nil {
		return err
	}
	s := &sheet{console: c.console, kind: c.Args.Kind, rows: rows, edited: map[string]json.RawMessage{}}
	s.printRows()
	return s.readCommands(c.Reason)
}

// sheet holds the rows of one kind and their unsaved changes.
type sheet struct {
	*console
	kind   string
	rows   []table.StoredRow
	edited map[string]json.RawMessage // unsaved values by row name
}

// row returns a row with its unsaved value; an unknown name yields a new row.
func (s *sheet) row(name string) table.StoredRow {
	i := slices.IndexFunc(s.rows, func(r table.StoredRow) bool { return r.Key.Name == name })
	row := table.StoredRow{Key: table.Key{Kind: schema.Kind(s.kind), Name: name}}
	if i >= 0 {
		row = s.rows[i]
	}
	if v, ok := s.edited[name]; ok {
		row.Value = v
	}
	return row
}

// printRows prints the sheet and marks rows that have unsaved changes with "*".
func (s *sheet) printRows() {
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	var columns []string
	names := map[string]bool{}
	for _, r := range s.rows {
		names[r.Key.Name] = true
		for column := range decodeColumns(s.row(r.Key.Name).Value) {
			if !slices.Contains(columns, column) {
				columns = append(columns, column)
			}
		}
	}
	for name := range s.edited {
		names[name] = true
	}
	slices.Sort(columns)
	_, _ = fmt.Fprintln(w, strings.ToUpper(s.kind)+"\t"+strings.Join(columns, "\t"))
	for _, name := range slices.Sorted(keysOf(names)) {
		fields := decodeColumns(s.row(name).Value)
		mark := ""
		if _, ok := s.edited[name]; ok {
			mark = "*"
		}
		cells := []string{name + mark}
		for _, column := range columns {
			cells = append(cells, string(fields[column]))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush() // write errors on standard output are ignored, as in printf
}

func keysOf(m map[string]bool) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// readCommands handles input lines until the sheet is saved or abandoned.
func (s *sheet) readCommands(reason string) error {
	in := bufio.NewScanner(s.stdin)
	for in.Scan() {
		line := strings.TrimSpace(in.Text())
		switch line {
		case "":
		case "show":
			s.printRows()
		case "quit":
			s.printf("quit without saving\n")
			return nil
		case "save":
			return s.save(reason)
		default:
			if err := s.setCell(line); err != nil {
				s.printf("%v\n", err)
			}
		}
	}
	if err := in.Err(); err != nil {
		return errors.Wrap(err, "read standard input")
	}
	if len(s.edited) > 0 {
		return cli.WithExitCode(cli.ExitFailed, errors.New("the input ended before save: nothing was changed"))
	}
	return nil
}

// setCell handles a line of the form ROW COLUMN VALUE.
func (s *sheet) setCell(line string) error {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) != 3 {
		return errors.Errorf("%q: expected ROW COLUMN VALUE, show, save or quit", line)
	}
	value, err := setColumn(s.row(parts[0]).Value, parts[1], parts[2])
	if err != nil {
		return err
	}
	s.edited[parts[0]] = value
	return nil
}

func (s *sheet) save(reason string) error {
	var changes []api.RowChange
	for name, value := range s.edited {
		changes = append(changes, newRowChange(s.row(name), value))
	}
	if len(changes) == 0 {
		s.printf("nothing has changed\n")
		return nil
	}
	return s.edit(reason, changes)
}
