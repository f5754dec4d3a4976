// Package httpc sends HTTP/1.1 requests over kept connections, each of them once.
//
// It exists beside net/http for three reasons. An owner sends thousands of short
// requests a second: without a pair of goroutines and fresh headers for each
// connection a request costs a third of the processor time. A request is never
// repeated behind its caller's back, so that an order is carried out once. And a
// connection that has fallen silent takes all kept ones of its host that were
// last heard before out of use, since they tend to fall silent together.
package httpc
