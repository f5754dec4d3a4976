// Package control executes the decisions of package fleet. Package entry runs one [Loop] in
// every entry.
//
// A lease, an item of the table service, keeps entries from duplicating work. Safety does not
// depend on it: each edit names the row versions it is based on, and the
// table checks and applies edits one at a time, so edits of a paused or second lease holder are rejected. Actions
// on the platform are idempotent and follow from the table, so any entry can continue the work
// of another.
package control
