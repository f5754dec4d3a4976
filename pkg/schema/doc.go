// Package schema holds the Go types of settings, table rows and messages,
// generated from the JSON Schemas in the directory schema/.
//
// Run _scripts/generate.sh after a change of a schema; CI fails when the
// committed code does not match.
package schema
