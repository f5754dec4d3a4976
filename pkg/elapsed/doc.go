// Package elapsed tells how much time has passed on this machine, time in which it was
// suspended included.
//
// The steady clock of the language stands still while a machine is suspended, so that
// whatever a process was allowed for some seconds looks as fresh after its machine woke as
// before. A [Clock] adds the time of suspensions, which the system's boot clock counts.
package elapsed
