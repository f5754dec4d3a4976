// Package fleet decides which pool has which VMs and when each is maintained.
//
// Decisions are pure: [Decide] takes the table, what was observed of the VMs
// and the time, and returns a few actions, each with its reason and evidence.
// An action is an edit of the table, or an effect on the platform that the
// table already calls for. Effects may be repeated without harm and are
// returned at every step until they are seen to have worked, so that a process
// that ends between an edit and its effect loses nothing.
//
// A VM goes through these phases in a wave:
//
//	active -> draining    when its pool's budget has room
//	draining -> rebooting when every entry says, at the revision that closed it, that nothing is in flight, and the VM says so too
//	rebooting -> checking when the VM has carried out the operation and is live
//	checking -> active    when its backend server answers probes
//
// An observation that is missing never counts in favour of a step: unknown is
// down for the budget, and not empty for a drain.
package fleet
