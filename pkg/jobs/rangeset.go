package jobs

import "slices"

// rangeSet is a set of integers, stored as sorted half-open ranges: elements 2i and 2i+1 are the
// start and the end of range i.
type rangeSet []int

// has reports whether n is in the set.
func (s rangeSet) has(n int) bool {
	at, _ := slices.BinarySearch(s, n+1)
	return at%2 == 1
}

// add returns the set with n added.
func (s rangeSet) add(n int) rangeSet {
	if s.has(n) {
		return s
	}
	at, _ := slices.BinarySearch(s, n+1) // even, since n is between two ranges
	after := at < len(s) && s[at] == n+1
	switch before := at > 0 && s[at-1] == n; {
	case before && after:
		return slices.Delete(s, at-1, at+1)
	case before:
		s[at-1]++
		return s
	case after:
		s[at]--
		return s
	default:
		return slices.Insert(s, at, n, n+1)
	}
}

// nextAbsent returns the smallest number from n on that is not in the set.
func (s rangeSet) nextAbsent(n int) int {
	if at, _ := slices.BinarySearch(s, n+1); at%2 == 1 {
		return s[at]
	}
	return n
}

// count returns the number of elements.
func (s rangeSet) count() (n int) {
	for i := 0; i+1 < len(s); i += 2 {
		n += s[i+1] - s[i]
	}
	return n
}

// valid reports whether the ranges are sorted, not empty and within [0, bound).
func (s rangeSet) valid(bound int) bool {
	if len(s)%2 == 1 || len(s) > 0 && (s[0] < 0 || s[len(s)-1] > bound) {
		return false
	}
	for i := 1; i < len(s); i++ {
		if s[i] <= s[i-1] {
			return false
		}
	}
	return true
}
