// Package ownership decides which entry owns which shard and manages the owners that run in this
// process.
//
// An entry is one server process of the job service, and a shard holds the jobs and workers of one
// pool. The owner row of a shard in the table service names its owner and the owner's term.
//
// [Members] follows the registered entries and exchanges pings (heartbeats) with them to tell which
// are alive. [Manager] follows the owner rows. When an owner is gone, the remaining entries rank
// themselves as candidates by load, and the first one claims the shard by a conditional write of
// its row. A shard whose owner is overloaded is handed over to an entry with more capacity.
//
// A false suspicion costs a takeover but does no harm: fencing keeps the former owner from
// committing or giving orders. Package node runs both types and passes them the rows that its feeds
// read.
package ownership
