// Package node implements the server process of an entry, one instance of the job service.
//
// A [Node] accepts the requests of callers, who use the job API for a client account, and passes
// them to the owner of the queue's shard, which may be the node itself. It follows the
// configuration (the catalog), the worker directory, the registered entries and the owner rows by
// the table service's feeds, and fetches newer configurations from its peers, the other entries.
// Package ownership decides which shards the node owns; packages shard and fleetops do the work of
// an owner.
//
// The HTTP front end calls [Node.Submit], [Node.State], [Node.Cancel] and [Node.Waiting];
// operators' requests and metrics have a listener of their own.
package node
