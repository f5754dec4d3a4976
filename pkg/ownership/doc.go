// Package ownership decides which entry owns which shard and manages the owners that run in this
// process.
//
// An entry is one instance of the job service. It has a fixed name; its start time tells the
// processes apart that run under that name one after another. An entry is a member once registered,
// a peer as seen by another entry, and a node (package node) as seen by itself. A shard holds the
// jobs and workers of one pool. The owner row of a shard in the table service (the store) names the
// process that owns it and the owner's term.
//
// [Members] follows the registered entries and pings them to tell which are alive. [Manager]
// follows the owner rows. When an owner is gone, the other entries rank themselves as candidates by
// load, the shards per processor, and the first one claims the shard by a conditional write of its
// row. A shard of an entry with a high load is handed over to one with a lower load.
//
// A false suspicion costs a takeover but does no harm: fencing keeps the former owner from
// committing or giving orders. Package node runs both types and passes them the rows that its feeds
// read.
package ownership
