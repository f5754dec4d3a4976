// Package fleetops moves VMs between pools and takes them down for maintenance.
//
// One entry at a time owns this work, by an owner row of its own, so that
// orders for one VM come from one holder. Before an order the owner of the VM's
// shard empties the VM. What is done next is decided by pure functions of what
// is known: [Next] for a wave of maintenance, [SizingPolicy.PlanMoves] for the sizes of
// pools; [Runner] carries it out.
package fleetops
