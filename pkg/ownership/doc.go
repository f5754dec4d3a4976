// Package ownership decides which entry owns which shard.
//
// Who owns a shard stands in its owner row. Each entry follows those rows,
// pings the others and takes a shard over when its owner is certainly gone or
// has been silent while most others answer. A wrong guess costs a takeover but
// harms nothing: the former owner can no longer write or give orders.
package ownership
