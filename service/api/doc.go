// Package api holds the types and paths of the operators' HTTP API, generated from
// schema/api.json, and their conversion from and to internal types, so that internal types
// can change without changing the API. Package server and package node serve the API, package
// client calls it.
package api
