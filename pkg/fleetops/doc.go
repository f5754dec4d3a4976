// Package fleetops runs the fleet operations: it moves VMs between pools to match demand, takes
// them down for maintenance waves, and divides client accounts' quotas (package quota).
//
// One entry at a time, the holder, runs them for the whole fleet. It holds an owner row like
// that of a shard, and its ownership term is the fencing token of its orders to the VM service.
// Package ownership decides which entry takes over; package node opens a [Runner] there.
//
// Before a VM is moved or maintained, the owner of its pool's shard drains it, unless it is spare.
// The VMs are chosen by pure functions: [SelectVMs] for a maintenance wave and
// [SizingPolicy.PlanMoves] for pool sizes. Before sending an order the holder persists an
// announcement of it, so that the next holder can leave enough time between two holders' orders for
// the same VM.
package fleetops
