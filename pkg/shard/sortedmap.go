package shard

import (
	"iter"
	"maps"
	"slices"
)

// sortedByKey iterates over a map in the order of its keys, for loops whose order affects the
// log or the orders sent. Tests replay runs and compare their logs.
func sortedByKey[V any](m map[string]V) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, name := range slices.Sorted(maps.Keys(m)) {
			if v, there := m[name]; there && !yield(name, v) {
				return
			}
		}
	}
}

// sortedKeysWhere returns the keys of the wanted values in order, without sorting the others.
func sortedKeysWhere[V any](m map[string]V, want func(V) bool) (names []string) {
	for name, v := range m {
		if want(v) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
