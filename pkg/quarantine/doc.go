// Package quarantine detects poison tasks, which crash the workers they run on, and restricts where
// suspected tasks may start.
//
// A crashing task takes down every worker that starts it, and with it all other attempts on that
// worker. The loss is counted against each of them, and their next starts are restricted to find
// the crashing one. A loss is early if the attempt had only just started or was in a trial:
//
//   - After one early loss, or two of any kind, a task is kept separate: no other suspected task
//     starts on its worker until it has run longer than it had when the worker was lost, which
//     clears it.
//   - After two early losses, or three of any kind, it starts only in a trial: nothing else starts
//     on its worker meanwhile.
//   - After four losses it is blocked until it is known whether the workers have ended.
//   - It is poison, and its job fails, if a worker is known to have ended during a trial, after
//     three losses of which two certainly had the task, or if four workers are known to have ended.
//
// Losses long after the start of an attempt weigh less. Package jobs keeps the losses of each
// task, package shard records them and applies the restrictions. A boot is one incarnation of a
// worker process. The package does no I/O and reads no clock.
package quarantine
