//go:build !race

package prop

// deterministic tells whether cases are played so that they repeat.
const deterministic = true
