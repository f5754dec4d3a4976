// Package table is the operators' table: typed rows, edits, checks and
// immutable snapshots. It does no I/O and never reads a clock.
//
// A [Snapshot] is the table at one revision. An accepted edit becomes a
// schema.Entry of the log; applying the entries in order to a snapshot gives
// every later snapshot, so all entries of a deployment that hold the same
// revision hold the same rows. An edit names, for each row, the version that
// its maker saw; [Snapshot.Prepare] refuses it with [ErrConflict] when the row
// has changed since, and with [ErrRejected] when the table as a whole would no
// longer be sound. Nothing is ever partly applied.
package table
