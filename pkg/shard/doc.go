// Package shard implements the owner of a shard: the jobs and workers of one pool.
//
// pkg/node opens an [Owner] when an entry takes a pool over, passes it callers'
// requests and directory updates, and closes or releases it. The owner alone
// places tasks on the pool's workers, so it tracks their free resources in memory.
// It polls each worker to renew the leases of its tasks there and to receive the running and the
// ended attempts. A worker ends tasks whose lease no owner renews.
//
// The owner of the term before is the predecessor; former owners are all owners before.
//
// Two fences stop former owners without relying on clocks. Each transaction expects
// the version of the shard's commit row, which every transaction and every
// takeover rewrites. Each order to a worker carries a fencing token derived from the
// owner's term, which the worker compares with the highest it has seen. A restarted
// worker has forgotten that token; to cover it, jobs stored before a takeover wait until
// no former owner can act any more, which does rely on clocks (predecessor.go).
//
// State is stored before it is reported: a job before its submission is confirmed, the
// end of an attempt before it is acknowledged to the worker, and a final state before
// callers see it. A start is not stored, except that one of a task suspected of crashing its
// workers is recorded as a provisional loss before it is sent (provisional.go).
package shard
