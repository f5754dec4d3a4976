// Package shard implements the owner of a shard: the jobs and workers of one pool.
//
// pkg/node opens an [Owner] when an entry takes a pool over, passes it callers'
// requests and updates of the worker directory, and closes or releases it. The owner alone
// places tasks on the pool's workers, so it tracks their free resources in memory.
// It polls each worker to renew the leases of its tasks there and to receive the running and the
// ended attempts. A worker ends tasks whose lease no owner renews.
//
// Former owners are the owners of all earlier terms; the last of them is the predecessor.
//
// Two fences stop former owners without relying on clocks. Each transaction expects
// the version of the shard's commit row, which every transaction and every
// takeover rewrites. Each order to a worker carries a fencing token, the owner's term and
// a sequence number, which the worker compares with the highest it has seen. A restarted
// worker has forgotten that token. Tasks of jobs stored before a takeover therefore wait while
// a former owner may have started them, which does rely on clocks (predecessor.go).
//
// State is stored before it is reported: a job before its submission is confirmed, the
// end of an attempt before it is acknowledged to the worker, and a final state before
// callers see it. Starts are not stored. Before a task suspected of crashing its workers is
// started, though, a provisional loss of the worker is stored, which is removed if the worker
// survives the attempt (provisional.go).
package shard
