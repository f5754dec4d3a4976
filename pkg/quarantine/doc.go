// Package quarantine detects poison tasks, which crash the workers they run on, and restricts where
// suspected tasks may start.
//
// A crashing task takes down every worker that starts it, and with the worker up to a dozen
// attempts of other tasks. The loss is counted against each of them, and their next starts
// are restricted to find the crashing one:
//
//   - After one early loss a task is kept separate: no other suspected task starts on its worker
//     until it has run longer than it had when the worker was lost, which clears it.
//   - After two it starts only in a trial: nothing else starts on its worker meanwhile.
//   - If its worker is known to have ended during a trial, the task is poison and its job fails.
//
// Losses long after the start of an attempt weigh less. Package jobs keeps the losses of each
// task, package shard records them and applies the restrictions. A boot is one incarnation of a
// worker process. The package does no I/O and reads no clock.
package quarantine
