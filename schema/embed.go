// Package schema embeds the JSON Schemas of settings, table rows and messages.
//
// The Go types in pkg/schema are generated from the same files, so that what
// is checked and what is decoded cannot drift apart.
package schema

import "embed"

// Files holds the schemas by file name.
//
//go:embed *.json
var Files embed.FS
