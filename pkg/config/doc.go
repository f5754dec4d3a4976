// Package config reads JSON with comments and checks it against the schemas.
//
// A text is parsed once into a syntax tree that keeps positions, checked
// against a JSON Schema, filled with the schema's defaults and only then
// decoded. Every problem is reported with its line, column, field and what was
// expected; unknown and repeated fields are problems.
package config
