package quota

import (
	"cmp"
	"slices"
)

// Divide returns the target share of an account's limit for each shard. If the limit covers the
// total demand, each shard gets its demand and an equal part of the rest. Otherwise the limit is
// divided by max-min fairness, with at least the running work for each shard, and remainders too
// small to start a task are combined.
func Divide(usage []Usage) []float64 {
	n := float64(len(usage))
	demand := 0.0
	for i := range usage {
		demand += usage[i].demand()
	}
	shares := make([]float64, len(usage))
	if demand <= 1 {
		for i := range usage {
			shares[i] = usage[i].demand() + (1-demand)/n
		}
		return shares
	}
	waterFill(usage, shares)
	combineRemainders(usage, shares)
	return shares
}

func (u *Usage) demand() float64 { return max(u.Running, u.Demand) }

// waterFill finds the highest common level for the shares that fits the limit. Each share is capped
// by the shard's demand and is at least its running work.
func waterFill(usage []Usage, shares []float64) {
	low, high := 0.0, 1.0
	const rounds = 40 // of bisection, exact to less than a thousandth of a core
	for range rounds {
		mid := (low + high) / 2
		if setLevel(usage, shares, mid) <= 1 {
			low = mid
		} else {
			high = mid
		}
	}
	setLevel(usage, shares, low)
}

// setLevel sets the shares for a level and returns their sum.
func setLevel(usage []Usage, shares []float64, level float64) (sum float64) {
	for i := range usage {
		shares[i] = max(usage[i].Running, min(usage[i].demand(), level))
		sum += shares[i]
	}
	return sum
}

// combineRemainders takes away remainders that are too small to start a task. It gives their sum to
// the shards with the least running work, as far as it lets them start a task.
func combineRemainders(usage []Usage, shares []float64) {
	left := 1.0
	var short []int
	for i := range usage {
		if u := &usage[i]; u.MinStart > 0 && shares[i] < u.Running+u.MinStart {
			shares[i] = u.Running
			short = append(short, i)
		}
		left -= shares[i]
	}
	slices.SortStableFunc(short, func(a, b int) int { return cmp.Compare(usage[a].Running, usage[b].Running) })
	for _, i := range short {
		if step := usage[i].MinStart; step <= left {
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
