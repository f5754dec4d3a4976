// Package api holds the types of the operators' HTTP interface, generated from
// schema/api.json, and their conversion from and to internal types, so that
// internals can change without the interface.
package api
