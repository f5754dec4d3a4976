// Package quota divides client accounts' quotas among shards.
//
// An account's limit covers what it runs on the workers of all pools, but each pool's shard owner
// schedules on its own. So every shard has a share of each limit, and what runs in a shard never
// exceeds its share. One [Allocator], run by the holder of the fleet's work (package fleetops),
// collects usage reports and grants shares; each shard owner (package shard) keeps its shares in a
// [ShardShares]. The shares of an account never sum to more than its limit, whatever messages are
// lost:
//
//   - a shard uses the share that it was granted last, and reports the higher of that and the
//     persisted one;
//   - the allocator counts the maximum of a shard's reported share, its running work and the
//     shares granted since, and raises shares only by what remains;
//   - a new allocator first has every shard persist its term, so that shards reject grants of
//     former allocators, and raises no share before;
//   - a new shard owner starts with the persisted shares and counts as running whatever it cannot
//     rule out.
//
// Shares are fractions of the limit, so that a changed limit needs no coordination. Correctness
// does not depend on clocks. The package does no I/O.
package quota
