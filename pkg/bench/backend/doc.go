// Package backend simulates backend servers: one HTTP server for each VM, over
// loopback TCP, that can be drained, powered off and on, slowed down and made to fail.
// It reports each request to an Observer, usually the checker.
//
// Headers of a request carry its ID and the work that it asks for. The response starts
// with the ID and ends with a checksum, so that the caller can detect a truncated
// response, a corrupted one, or one to another request.
package backend
