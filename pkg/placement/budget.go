package placement

import (
	"math"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// shareRounding is added to a share to make up for rounding when shares are summed up.
const shareRounding = 1e-6

// Budget is what a client account may still start in a pool.
type Budget struct {
	Limit    platform.Resources // of the account over all pools, 0 for none
	Left     platform.Resources // unused part of the account's share in this pool
	Exceeded bool               // it did not cover a task or gang that was to start
}

// NewBudget returns the budget of an account with a share of its limit, given what it has running.
func NewBudget(limit platform.Resources, share float64, running platform.Resources) *Budget {
	part := func(limit, running int) int {
		return int(math.Floor((share+shareRounding)*float64(limit))) - running
	}
	return &Budget{Limit: limit, Left: platform.Resources{
		CPU: part(limit.CPU, running.CPU), MemoryMB: part(limit.MemoryMB, running.MemoryMB), GPU: part(limit.GPU, running.GPU),
	}}
}

// covers reports whether n tasks of a step may start, and sets Exceeded if not. A nil budget covers
// any number.
func (b *Budget) covers(st *jobs.Step, n int) bool {
	if b == nil {
		return true
	}
	c := LimitCharge(st.Needs, b.Limit, n)
	fits := func(limit, needs, left int) bool { return limit == 0 || needs <= left }
	ok := fits(b.Limit.CPU, c.CPU, b.Left.CPU) && fits(b.Limit.MemoryMB, c.MemoryMB, b.Left.MemoryMB) && fits(b.Limit.GPU, c.GPU, b.Left.GPU)
	b.Exceeded = b.Exceeded || !ok
	return ok
}

// take takes n tasks of a step out of the budget. If the budget does not cover them, it takes
// nothing and reports false.
func (b *Budget) take(st *jobs.Step, n int) bool {
	if !b.covers(st, n) {
		return false
	}
	if b != nil {
		b.Left = b.Left.Sub(LimitCharge(st.Needs, b.Limit, n))
	}
	return true
}

// TakeUpTo takes as many of n tasks of a step as the budget covers, and returns their number.
func (b *Budget) TakeUpTo(st *jobs.Step, n int) int {
	taken := 0
	for taken < n && b.take(st, 1) {
		taken++
	}
	return taken
}

// LimitCharge returns how much of a limit n tasks that start together use. A task that needs more
// than the whole limit uses all of it, and so may run while nothing else of its account does.
func LimitCharge(needs, limit platform.Resources, n int) platform.Resources {
	part := func(needs, limit int) int {
		if limit == 0 {
			return 0
		}
		return min(n*needs, limit)
	}
	return platform.Resources{
		CPU: part(needs.CPU, limit.CPU), MemoryMB: part(needs.MemoryMB, limit.MemoryMB), GPU: part(needs.GPU, limit.GPU),
	}
}

// MaxFraction returns the largest fraction that an amount takes of any limited resource.
func MaxFraction(amount, limit platform.Resources) (part float64) {
	for _, k := range [...][2]int{{amount.CPU, limit.CPU}, {amount.MemoryMB, limit.MemoryMB}, {amount.GPU, limit.GPU}} {
		if k[1] > 0 {
			part = max(part, float64(k[0])/float64(k[1]))
		}
	}
	return part
}
