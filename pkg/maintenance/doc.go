// Package maintenance takes VMs down for their maintenance in waves.
//
// One entry at a time owns this work, by an owner row of its own. It has the
// owner of a VM's shard empty the VM, orders the maintenance and counts the VM
// as down until another boot of it is up. What is decided next is a pure
// function of what is known, [Next]; [Runner] carries it out.
package maintenance
