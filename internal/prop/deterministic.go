//go:build !race

package prop

// deterministic reports whether cases run on one processor without garbage collection.
const deterministic = true
