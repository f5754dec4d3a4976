//go:build race

package prop

// deterministic tells whether cases are played so that they repeat: under the race detector, which runs
// goroutines in an order of its own, they can't, and on several processors they end sooner.
const deterministic = false
