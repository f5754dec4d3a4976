// Package config decodes settings and table files, JSON with comments, and validates them
// against the JSON schemas. The gannetwelld and gannetctl commands and package table use it.
//
// A document is parsed into a syntax tree with positions, validated against a schema, filled in
// with the schema's defaults and then decoded. Every problem is reported with its line, column,
// field and the expected value. Unknown and repeated fields are errors.
package config
