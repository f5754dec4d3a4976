// Command refdocs generates the reference pages below docs/ from the code: one page
// for the commands of each program, and pages for settings and table rows.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	benchcmds "github.com/gannetwell/gannetwell/cmd/gannetbench/cmds"
	ctlcmds "github.com/gannetwell/gannetwell/cmd/gannetctl/cmds"
	daemoncmds "github.com/gannetwell/gannetwell/cmd/gannetwelld/cmds"
	"github.com/gannetwell/gannetwell/pkg/cli"
	schemafiles "github.com/gannetwell/gannetwell/schema"
)

func main() {
	dir := os.Args[1]
	for _, p := range []*cli.Program{daemoncmds.New(nil, nil), ctlcmds.New(nil, nil, nil), benchcmds.New(nil, nil)} {
		write(filepath.Join(dir, "cli", p.Name+".md"), commands(p))
	}
	write(filepath.Join(dir, "operate", "settings-reference.md"), reference("settings.json", "Settings reference",
		"Settings of gannetwelld, JSON with comments. Unknown fields are errors.", "Settings"))
	write(filepath.Join(dir, "operate", "service-settings-reference.md"), reference("service.json", "Settings of the job service",
		"Settings of gannetwelld serve, JSON with comments; on the users' platform deploy/settings.jsonc makes them. Unknown fields are errors.", "ServiceSettings"))
	write(filepath.Join(dir, "operate", "table-reference.md"), reference("table.json", "Table reference",
		"The rows of the table. A table file has one object for each kind of row, with rows by name.", "Document"))
}

func write(file string, text []byte) {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		log.Fatal(err)
	}
	if err := os.WriteFile(file, text, 0o644); err != nil {
		log.Fatal(err)
	}
}

// commands returns the reference page of a program.
func commands(p *cli.Program) []byte {
	parser, err := p.Parser()
	if err != nil {
		log.Fatal(err)
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "# %s\n\n%s\n\nGenerated from the commands by `_scripts/generate.sh`.\n\n", p.Name, p.Summary)
	fmt.Fprintf(&out, "Exit codes: 0 success, 1 the command did not succeed, 2 the command line is wrong, 3 a file or an edit is not valid, 4 rows changed after they were seen, 5 it is not known whether the edit was accepted.\n\n")
	options(&out, parser.Groups())
	for _, c := range parser.Commands() {
		command(&out, p.Name, c)
	}
	return out.Bytes()
}

func command(out *bytes.Buffer, path string, c *flags.Command) {
	path += " " + c.Name
	fmt.Fprintf(out, "## %s\n\n", path)
	text, example, _ := strings.Cut(c.LongDescription, "\n\nExample")
	fmt.Fprintf(out, "%s\n\n", text)
	for _, a := range c.Args() {
		fmt.Fprintf(out, "- argument `%s`\n", a.Name)
	}
	options(out, c.Groups())
	if _, lines, ok := strings.Cut(example, "\n"); ok {
		fmt.Fprintf(out, "```\n%s\n```\n\n", strings.ReplaceAll(strings.TrimSpace(lines), "\n  ", "\n"))
	}
	for _, sub := range c.Commands() {
		command(out, path, sub)
	}
}

func options(out *bytes.Buffer, groups []*flags.Group) {
	n := 0
	for _, g := range groups {
		for _, o := range g.Options() {
			if o.LongName == "help" || o.LongName == "" {
				continue
			}
			fmt.Fprintf(out, "- `--%s`", o.LongName)
			if o.EnvDefaultKey != "" {
				fmt.Fprintf(out, " (or `%s`)", o.EnvDefaultKey)
			}
			fmt.Fprintf(out, ": %s", o.Description)
			if len(o.Default) > 0 {
				fmt.Fprintf(out, "; default %s", strings.Join(o.Default, ", "))
			}
			fmt.Fprintln(out)
			n++
		}
	}
	if n > 0 {
		fmt.Fprintln(out)
	}
}

// definition holds the parts of a JSON Schema that the pages show.
type definition struct {
	Description string                `json:"description"`
	Type        string                `json:"type"`
	Enum        []string              `json:"enum"`
	Default     json.RawMessage       `json:"default"`
	Minimum     *float64              `json:"minimum"`
	Pattern     string                `json:"pattern"`
	Ref         string                `json:"$ref"`
	Items       *definition           `json:"items"`
	Required    []string              `json:"required"`
	Properties  map[string]definition `json:"properties"`
	Defs        map[string]definition `json:"$defs"`
}

// reference returns the reference page of a schema file, with its root object first.
func reference(file, title, intro, root string) []byte {
	raw, err := schemafiles.Files.ReadFile(file)
	if err != nil {
		log.Fatal(err)
	}
	var d definition
	if err := json.Unmarshal(raw, &d); err != nil {
		log.Fatal(err)
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "# %s\n\n%s\n\nGenerated from `schema/%s` by `_scripts/generate.sh`.\n\n", title, intro, file)
	object(&out, root, d)
	for _, name := range slices.Sorted(maps.Keys(d.Defs)) {
		object(&out, name, d.Defs[name])
	}
	return out.Bytes()
}

func object(out *bytes.Buffer, name string, d definition) {
	fmt.Fprintf(out, "## %s\n\n%s\n\n", name, d.Description)
	if len(d.Enum) > 0 {
		fmt.Fprintf(out, "One of: `%s`.\n\n", strings.Join(d.Enum, "`, `"))
	}
	if len(d.Properties) == 0 {
		return
	}
	fmt.Fprintf(out, "| field | type | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, field := range slices.Sorted(maps.Keys(d.Properties)) {
		p := d.Properties[field]
		value := string(p.Default)
		if slices.Contains(d.Required, field) {
			value = "required"
		}
		fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", field, typeOf(p), value, strings.ReplaceAll(p.Description, "|", "\\|"))
	}
	fmt.Fprintln(out)
}

func typeOf(d definition) string {
	switch {
	case d.Ref != "":
		name := d.Ref[strings.LastIndex(d.Ref, "/")+1:]
		return fmt.Sprintf("[%s](#%s)", name, strings.ToLower(name))
	case d.Items != nil:
		return "list of " + typeOf(*d.Items)
	case len(d.Enum) > 0:
		return "`" + strings.Join(d.Enum, "` or `") + "`"
	}
	return d.Type
}
