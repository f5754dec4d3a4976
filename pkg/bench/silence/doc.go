// Package silence is a stand-in for a network on which open connections fall
// silent for good, without a reset, while new ones work.
package silence
