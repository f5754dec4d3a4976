// Package control carries out the decisions of package fleet.
//
// Every entry runs a [Loop]. A lease, one item of the table service, keeps them
// from doing the same work twice; nothing rests on it. What keeps decisions
// safe is that each edit names the row versions it was decided on and that
// every edit passes the table's own checks in one sequence: a holder that was
// paused and wakes up, or two holders at once, can only be refused. Effects on
// the platform are idempotent and follow from the table, so any entry can go on
// where another ended.
package control
