package jobs

import (
	"testing"

	"pgregory.net/rapid"
)

// Compares rangeSet with a map.
func TestRangeSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 40
		var s rangeSet
		want := map[int]bool{}
		for _, n := range rapid.SliceOf(rapid.IntRange(0, bound-1)).Draw(t, "numbers") {
			s = s.add(n)
			want[n] = true
			if s.count() != len(want) || !s.valid(bound) {
				t.Fatalf("%v after %d, want %v", s, n, want)
			}
		}
		for n := range bound {
			if s.has(n) != want[n] {
				t.Fatalf("%v has %d: %v", s, n, s.has(n))
			}
		}
	})
}
