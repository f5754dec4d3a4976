// Package schema holds the Go types of settings, table rows and messages between entries,
// generated from the JSON Schemas in the directory schema/.
//
// Its types are used wherever settings are read, rows are stored and entries talk to each other;
// pkg/config and pkg/table check documents against the same schemas. Run _scripts/generate.sh
// after changing a schema; CI fails if the committed code does not match.
package schema
