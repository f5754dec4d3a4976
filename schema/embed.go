// Package schema embeds the JSON Schemas of settings, table rows, messages between entries and the
// operators' API. The Go types in pkg/schema and service/api are generated from the same files, so validation and
// decoding use the same definitions.
package schema

import "embed"

// Files holds the schemas by file name.
//
//go:embed *.json
var Files embed.FS
