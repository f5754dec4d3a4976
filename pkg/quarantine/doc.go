// Package quarantine decides which tasks are suspected of crashing the workers they run on.
//
// A crashing task takes down every worker that starts it, and with the worker up to a dozen
// attempts of other tasks. The loss is counted against each of them; the way they are started
// next tells them apart:
//
//   - After one early loss a task is watched: no other watched task starts on its worker until
//     it has run longer than it had when the worker was lost, which clears it.
//   - After two it is started on trial: nothing else starts on its worker meanwhile.
//   - If its worker is known to have ended during a trial, the task is poison and its job fails.
//
// Losses long after the start of an attempt weigh less. Package jobs keeps the losses of each
// task, package shard records them and acts on the verdicts. A boot is one incarnation of a
// worker process. The package does no I/O and reads no clock.
package quarantine
