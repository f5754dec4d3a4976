// Package lateness tells from the log lines of a deployment's entries which jobs
// were late, when they were handed in, and what took the time.
package lateness
