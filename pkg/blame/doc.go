// Package blame decides which task a lost worker is blamed on.
//
// A task may bring down every worker that starts it, and a worker goes with a dozen
// attempts that did nothing wrong. Each of them is counted the loss; what tells them apart
// is how they are started next. After a loss right after its start a task is watched: no
// other watched task starts at its worker until it has run longer than it had when the
// worker was lost, which clears it. After two it is put on trial: for that time nothing else
// starts at its worker. One whose worker is lost on trial is given up. Losses that came later
// after the start count less. The package does no I/O and reads no clock.
package blame
