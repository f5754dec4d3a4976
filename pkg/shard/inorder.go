package shard

import (
	"iter"
	"maps"
	"slices"
)

// sortedByKey goes through a map in the order of its keys, for loops whose order shows outside: in the
// log, in what is sent first. In the order of the map a course of events that was seen once could
// not be played again: 38 to 40 of 40 drawn courses differed the second time (TestCoursesRepeat).
func sortedByKey[V any](m map[string]V) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, name := range slices.Sorted(maps.Keys(m)) {
			if v, there := m[name]; there && !yield(name, v) {
				return
			}
		}
	}
}

// sortedKeysWhere returns the keys of the values that a loop is about, in order. Where these are few of many
// it spares sorting all: gone through by byName four times a pass, the attempts at all workers cost a
// busy owner 15 allocations a start (BenchmarkBusyOwner: 105 before, 120 so, 106 with it).
func sortedKeysWhere[V any](m map[string]V, want func(V) bool) (names []string) {
	for name, v := range m {
		if want(v) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
