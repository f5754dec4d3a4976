// Package fleet decides which pool has which VMs and when each VM is maintained.
//
// Package control observes the VMs, calls [Decide] in its loop and carries out the result. Decide
// is a pure function of the table, the observations and the time. It returns a limited number of
// actions, each with a reason and evidence. An action is either an edit of the table or an effect
// on the platform that the table already calls for. Effects are idempotent and are returned in
// every step until they are observed to have worked, so that a crash between an edit and its
// effect loses nothing.
//
// A VM without a pool is free; operators call the free VMs the buffer. A pool's budget is the number
// of its VMs that may be out of service at once. A VM goes through these phases in a maintenance
// wave:
//
//	active -> draining    when its pool's budget allows it
//	draining -> rebooting when every entry that knows of the drain, and the VM itself, report that no request is in flight
//	rebooting -> checking when the VM has carried out the operation and is live
//	checking -> active    when its backend server answers probes
//
// A missing observation never advances a phase: an unknown VM counts as unavailable for the budget
// and as not drained.
package fleet
