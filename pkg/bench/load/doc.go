// Package load is the callers' side of the bench: a balancer that knows which
// entries are ready, and callers that send requests of each route at a fixed
// rate, whatever becomes of the earlier ones, and judge each answer themselves.
package load
