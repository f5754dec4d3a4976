//go:build !race

package prop

// repeats tells whether cases are played so that they repeat.
const repeats = true
