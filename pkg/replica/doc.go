// Package replica keeps one entry's copy of the table and commits edits to it.
//
// The platform's table service holds the truth: the item "head" names the
// highest revision, "log/N" is the entry of revision N, "edit/ID" the revision
// that an edit became, and "row/KIND/NAME" each row as it is now. An edit is
// one transaction on all of them, conditional on the head still being the one
// that the edit was checked against and on the edit's ID being new. So edits
// form one sequence, a lost answer is settled by the edit's ID, and a process
// that was paused between its decision and its write changes nothing.
//
// A [Replica] only ever moves to the next revision. Entries reach it from the
// store or from peers, in any order and more than once.
package replica
