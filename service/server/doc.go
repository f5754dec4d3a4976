// Package server serves the operators' HTTP API of an entry, whose types are in package api.
//
// All paths but the health checks need the bearer token of an operator account; the server
// holds only the SHA-256 of tokens. Accounts with the role view may read, those with the role
// edit may also change the table. Every error answer is an api.Error. Package entry runs the
// server over the entry's replica of the table.
package server
