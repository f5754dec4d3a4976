// Package lateness reads the log lines of a deployment's entries and counts late jobs
// by submission time and by the phase that took most of their time. gannetbench late
// prints the counts.
package lateness
