// Package shard owns the jobs and workers of one pool.
//
// An [Owner] is the only one that places tasks on its pool's workers, so it
// knows their free resources without locks. Two fences keep a former owner
// from doing harm, and neither rests on a clock: each transaction expects the
// version of the partition's commit row, which every transaction and every
// takeover rewrites; and each order to a worker carries a fencing token made of
// the owner's term, which workers compare. A worker that starts again has forgotten
// them; so that this does no harm, what was kept before a takeover waits until no
// former owner can act any more, which does rest on clocks (predecessor.go).
//
// Before an answer goes out, what it promises is kept: a job before its
// submission is confirmed, an end before it is acknowledged to the worker, a
// final state before callers are told of it. Nothing is written for a start.
package shard
