// Package server serves the operators' HTTP interface by echo.
//
// Every path but the health ones wants a bearer token; only its SHA-256 is
// known here. An account with the role view reads, one with edit also changes
// the table. Every answer that is not a success is an api.Error.
package server
