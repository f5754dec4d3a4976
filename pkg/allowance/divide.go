package allowance

import (
	"cmp"
	"slices"
)

// Divide returns the share of an account's limit that each shard should hold. While
// all that is wanted goes into the limit, each gets that and an equal part of the rest,
// so that what comes next waits for nobody. Otherwise those that want little get it, and
// the others as much as each other; what runs is left to run. Parts that are too small
// for a start are put together for the shard that has least running.
func Divide(uses []Usage) []float64 {
	n := float64(len(uses))
	wanted := 0.0
	for i := range uses {
		wanted += uses[i].want()
	}
	shares := make([]float64, len(uses))
	if wanted <= 1 {
		for i := range uses {
			shares[i] = uses[i].want() + (1-wanted)/n
		}
		return shares
	}
	level(uses, shares)
	gatherParts(uses, shares)
	return shares
}

func (u *Usage) want() float64 { return max(u.Running, u.Demand) }

// level fills shares up to one level, each to what is wanted at the most and to what
// runs at the least.
func level(uses []Usage, shares []float64) {
	low, high := 0.0, 1.0
	const rounds = 40 // halves of the whole limit, down to less than a thousandth of a core
	for range rounds {
		mid := (low + high) / 2
		if fill(uses, shares, mid) <= 1 {
			low = mid
		} else {
			high = mid
		}
	}
	fill(uses, shares, low)
}

// fill sets the shares of a level and returns their sum.
func fill(uses []Usage, shares []float64, at float64) (sum float64) {
	for i := range uses {
		shares[i] = max(uses[i].Running, min(uses[i].want(), at))
		sum += shares[i]
	}
	return sum
}

// gatherParts takes what is too small for a start from the shards and gives it to those
// for which it is enough together.
func gatherParts(uses []Usage, shares []float64) {
	left := 1.0
	var short []int
	for i := range uses {
		if u := &uses[i]; u.MinStart > 0 && shares[i] < u.Running+u.MinStart {
			shares[i] = u.Running
			short = append(short, i)
		}
		left -= shares[i]
	}
	slices.SortStableFunc(short, func(a, b int) int { return cmp.Compare(uses[a].Running, uses[b].Running) })
	for _, i := range short {
		if step := uses[i].MinStart; step <= left {
			shares[i] += step
			left -= step
		}
	}
	if left > 0 && len(shares) > 0 {
		for i := range shares {
			shares[i] += left / float64(len(shares))
		}
	}
}
