// Package node is one entry of the job service.
//
// A node takes callers' jobs and questions and passes them to the owner of the
// queue's shard, which may be the node itself. It follows the configuration,
// the directory of workers, the entries and the owners of shards by the table
// service's feeds, and hears of newer configurations from other entries.
package node
