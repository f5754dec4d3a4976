// Package httplimit bounds what the clients of an HTTP server can make its process hold: the memory
// of all requests under way together, the size and the time of a request's head, the time of its
// body, and the number of connections.
//
// When a bound on a sum is reached, the connection that has waited longest for its client gives way:
// ordinary requests arrive whole and are never the longest for long. A request that a handler acts on
// is not interrupted.
package httplimit
