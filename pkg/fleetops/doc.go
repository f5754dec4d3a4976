// Package fleetops moves VMs between pools and takes them down for maintenance.
//
// Exactly one entry at a time, the holder, does this work for the whole fleet. It owns a row like
// that of a shard, so that its term is a fencing token for its orders to the VM service. Package
// ownership decides which entry takes over; package node opens a [Runner] there.
//
// Before a VM is ordered away, the owner of its pool's shard drains it. The VMs are chosen by pure
// functions: [SelectVMs] for a maintenance wave and [SizingPolicy.PlanMoves] for pool sizes.
// Before sending an order the holder persists an announcement of it, so that the next holder can
// leave enough time between two holders' orders for the same VM.
package fleetops
