package jobs

import "slices"

// spans is a set of numbers, held as the ranges that it is made of: from each even element up to
// before the next one, in order.
type spans []int

// has tells whether a number is in the set.
func (s spans) has(n int) bool {
	at, _ := slices.BinarySearch(s, n+1)
	return at%2 == 1
}

// add puts a number into the set.
func (s spans) add(n int) spans {
	if s.has(n) {
		return s
	}
	at, _ := slices.BinarySearch(s, n+1) // even: the number lies behind the range before at
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

// endOf is the first number from n on that is not in the set.
func (s spans) endOf(n int) int {
	if at, _ := slices.BinarySearch(s, n+1); at%2 == 1 {
		return s[at]
	}
	return n
}

// count is how many numbers are in the set.
func (s spans) count() (n int) {
	for i := 0; i+1 < len(s); i += 2 {
		n += s[i+1] - s[i]
	}
	return n
}

// valid tells whether the elements are a set of numbers below a bound.
func (s spans) valid(bound int) bool {
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
