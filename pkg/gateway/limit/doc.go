// Package limit implements the admission limits of package gateway: an adaptive concurrency
// limit per backend server ([Adaptive]), a priority queue of requests for a service whose
// servers are full ([Queue]), and rate limits per caller and per team ([Rates]).
package limit
