// Package replica keeps an entry's copy of the table up to date and commits edits to the table.
// Package entry creates one [Replica], which package gateway, package control and the
// operators' interface read.
//
// The platform's table service is the source of truth: item "head" holds the highest revision,
// "log/N" the log entry of revision N, "edit/ID" the revision of a committed edit, and
// "row/KIND/NAME" the current value of a row. An edit is one transaction on all of them. It is
// conditional on the head being unchanged since the edit was checked and on the edit's ID being
// new. Edits therefore form one sequence, a lost response is resolved by the edit's ID, and a
// process that was paused between its check and its write cannot overwrite later edits.
//
// The revision of a replica only increases. Log entries may arrive from the store or from
// peers, in any order and repeatedly. A [Follower] reads new entries from the store at an
// interval.
package replica
