// Package soak runs the job service as separate processes on loopback addresses against a stand-in of
// the platform, also a process of its own, and disturbs them from outside: signals, proxies in front of
// the table service and the workers, and faults of the stand-in, in drawn and overlapping series. A
// checker compares what workers began and ended with what callers were told.
package soak
