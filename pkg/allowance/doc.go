// Package allowance divides what a client account may have running among shards.
//
// An account's limit holds over the workers of all pools, and each pool's owner places
// tasks by itself. So each shard holds a share of each limit, and what runs in a shard
// never goes above its share. One holder divides: it asks the shards what runs and what
// waits, and moves shares to where they are of use. The shares of an account sum up to
// the whole limit at most, whatever is lost on the way:
//
//   - a shard uses the share that it was granted last, and reports the higher of that and
//     the one that it keeps in the table service;
//   - the holder counts the highest of what a shard has reported, what runs there and what
//     it has granted since, and raises shares only out of what is left;
//   - a new holder first has every shard keep its term, by which grants of former holders
//     are refused, and raises nothing before;
//   - a new owner of a shard begins with the share that is kept, and counts as running
//     what it cannot rule out.
//
// Shares are parts of the limit rather than amounts, so that a limit that is changed
// needs no word between shards. No argument rests on a clock. The package does no I/O.
package allowance
