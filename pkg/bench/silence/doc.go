// Package silence simulates a network fault for tests: open connections stop
// delivering data, without a reset, while new connections work.
package silence
