//go:build race

package prop

// deterministic is false under the race detector, which randomizes the order of
// goroutines: one processor would only make the cases slower.
const deterministic = false
