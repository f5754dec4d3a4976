package placement

import (
	"math"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// shareRounding is the part of an account's limit by which sums of shares may be off from
// rounding; limits are kept to a tenth and one task.
const shareRounding = 1e-6

// Budget is what a client account may still have started in a pool.
type Budget struct {
	Limit platform.Resources // of the account over all pools, 0 for none
	Left  platform.Resources // of what it may have running in this pool
	Exceeded bool               // a task that had a host was not started for want of it
}

// NewBudget returns what is left of a share of an account's limit above what runs.
func NewBudget(limit platform.Resources, share float64, running platform.Resources) *Budget {
	part := func(limit, running int) int {
		return int(math.Floor((share+shareRounding)*float64(limit))) - running
	}
	return &Budget{Limit: limit, Left: platform.Resources{
		CPU: part(limit.CPU, running.CPU), MemoryMB: part(limit.MemoryMB, running.MemoryMB), GPU: part(limit.GPU, running.GPU),
	}}
}

// covers tells whether n tasks of a step may start; a nil budget covers any.
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

// take takes n tasks of a step out of the budget; it reports false, and takes nothing,
// if it does not cover them.
func (b *Budget) take(st *jobs.Step, n int) bool {
	if !b.covers(st, n) {
		return false
	}
	if b != nil {
		b.Left = b.Left.Sub(LimitCharge(st.Needs, b.Limit, n))
	}
	return true
}

// TakeUpTo takes as many of n tasks of a step as the budget covers, and returns how many.
func (b *Budget) TakeUpTo(st *jobs.Step, n int) int {
	taken := 0
	for taken < n && b.take(st, 1) {
		taken++
	}
	return taken
}

// LimitCharge is what n tasks that start together take of a limit. One that needs more than
// the whole limit takes all of it: it may run when nothing else of its account does.
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

// MaxFraction is the greatest part of a limit that an amount takes, of the kinds that have one.
func MaxFraction(amount, limit platform.Resources) (part float64) {
	for _, k := range [...][2]int{{amount.CPU, limit.CPU}, {amount.MemoryMB, limit.MemoryMB}, {amount.GPU, limit.GPU}} {
		if k[1] > 0 {
			part = max(part, float64(k[0])/float64(k[1]))
		}
	}
	return part
}
