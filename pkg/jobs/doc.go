// Package jobs implements the state machine of jobs: their steps, tasks and attempts.
//
// A job is a list of steps. A step consists of identical tasks and may depend on earlier steps. A
// job with a schedule runs all its steps once per occurrence. The owner of a pool's shard (package
// shard) keeps the pool's jobs in a [Registry], reports to it what happened and asks it which
// tasks are ready to start; package placement picks workers for them. The package does no I/O and
// reads no clock.
//
// A job's [Record] and [Progress] are persisted and survive a change of owner. Running attempts
// are not persisted: a new owner learns of them from the workers.
package jobs
