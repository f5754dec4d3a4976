// Package table defines the table of operator settings: typed rows, edits, checks and immutable
// snapshots. It does no I/O and does not read the clock. Package replica commits its edits and
// distributes its snapshots.
//
// A [Snapshot] is the table at one revision. An accepted edit becomes a schema.Entry of the
// log. Applying the log entries in order yields all later snapshots, so all replicas at the
// same revision hold the same rows. An edit names the version of each row on which it is based.
// [Snapshot.Prepare] rejects it with [ErrConflict] if a row has changed since, and with
// [ErrRejected] if the resulting table would be invalid. Edits are applied completely or not at
// all.
package table
