// Package startrate bounds how fast an owner starts tasks while it is at its own
// limit, of processor time or of its link.
//
// Such an owner does not slow down by itself: what it decides waits in front of the
// limit together with renewals and confirmations, so that it loses the leases of
// what it has just started, and starts it again. It tells by the fastest answer to
// an order: a worker that is slow or silent holds up its own orders, only this side
// holds up all.
package startrate
