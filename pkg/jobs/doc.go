// Package jobs is the state machine of jobs: steps, tasks and their attempts.
//
// A job is a list of steps; a step is a number of like tasks and may have to
// wait for other steps. A job with times runs all its steps once for each time;
// one such run is an occurrence. The package does no I/O and reads no clock: a
// [Registry] is told what happened and tells which tasks may start.
//
// What must outlast a process is a job's [Spec] and its [Progress]; attempts
// that run are known by asking the workers.
package jobs
