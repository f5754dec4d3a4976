// Package quota divides client accounts' quotas among shards.
//
// An account's limit, its quota, covers what it runs on the workers of all pools, but each pool's
// shard owner schedules independently. So every shard has a share of each limit, and starts tasks
// only within its share. One [Allocator], run by the holder of the fleet operations (package
// fleetops), collects usage reports and grants shares; each shard owner (package shard) keeps its
// shares in a [ShardShares]. The shares of an account never sum to more than its limit, whatever
// messages are lost:
//
//   - a shard uses the share that it was granted last, and reports the higher of that and the
//     persisted one;
//   - the allocator counts, for each shard, the maximum of its reported share, its running work and
//     the shares granted since, and raises shares only by what is left of the limit;
//   - a new allocator first has every shard persist its term, so that shards reject grants of
//     former allocators, and raises no share before;
//   - a new shard owner starts with the persisted shares and counts a task as running unless it
//     knows that it is not; if it can't read them, it starts with none ([LostRow]).
//
// Shares are fractions of the limit, so that a changed limit needs no coordination. Correctness
// does not depend on clocks. The package does no I/O.
package quota
