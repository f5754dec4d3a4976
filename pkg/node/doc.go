// Package node implements an entry, one server process of the job service.
//
// A [Node] accepts clients' jobs and requests and passes them to the owner of the queue's shard,
// which may be the node itself. It follows the configuration, the worker directory, the registered
// entries and the owner rows by the table service's feeds, and fetches newer configurations from
// other entries. Package ownership decides which shards the node owns; packages shard and fleetops
// do the work of an owner.
//
// The HTTP front end calls [Node.Submit], [Node.State], [Node.Cancel] and [Node.Waiting];
// operators' requests and metrics have a listener of their own.
package node
