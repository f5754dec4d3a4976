// Package elapsed measures the time that has passed on this machine, including time in which it was
// suspended.
//
// Go's monotonic clock stops while a machine is suspended, so a lease or timeout measured with it
// would look unexpired after the machine resumes. A [Clock] adds the time of suspensions, which it
// finds by comparing the system's boot-time clock with the monotonic one. Whatever grants, holds or
// times out leases reads such a clock.
package elapsed
