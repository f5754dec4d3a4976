package shard

import (
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quota"
)

// demand counts the waiting tasks that the limits of their accounts allow to run, so that a pool
// does not get VMs for the others.
type demand struct {
	o       *Owner
	budgets map[string]*placement.Budget
}

func (o *Owner) newDemand() *demand { return &demand{o: o, budgets: map[string]*placement.Budget{}} }

// startable returns how many of n waiting tasks of a step could run if their account had its whole
// limit in this pool.
func (d *demand) startable(s *jobs.StepRun, n int) int {
	account := s.Job.Account
	limit := d.o.limitOf(account)
	if limit == (platform.Resources{}) || !d.o.accounts.shares.Enforced() {
		return n
	}
	b := d.budgets[account]
	if b == nil {
		b = placement.NewBudget(limit, 1, d.o.registry.Allocated(account))
		d.budgets[account] = b
	}
	return b.TakeUpTo(s.Spec, n)
}

// reportAccounts returns the usage and demand of accounts with a limit, and, if full, also accounts
// without work here; the lock is held.
func (o *Owner) reportAccounts(full bool) quota.Report {
	r := o.accounts.shares.Report()
	r.Full = full
	unregistered := o.unregisteredUsage()
	uses := map[string]*quota.Usage{}
	use := func(account string) *quota.Usage {
		u := uses[account]
		if u == nil {
			running := placement.MaxFraction(o.registry.Allocated(account).Add(unregistered[account]), o.limitOf(account))
			u = &quota.Usage{Account: account, Running: running, Demand: running, MaxShare: o.accounts.shares.MaxShare(account)}
			uses[account] = u
		}
		return u
	}
	limited := func(account string) bool { return o.limitOf(account) != (platform.Resources{}) }
	// Tasks that may be at a worker that has not reported are counted in unregisteredUsage.
	o.eachStartable(false, func(s *jobs.StepRun, startable []*jobs.Task) {
		if account := s.Job.Account; limited(account) {
			addWaiting(use(account), s.Spec, len(startable), o.limitOf(account))
		}
	})
	o.registry.EachAllocated(func(account string) {
		if limited(account) {
			use(account)
		}
	})
	for account := range unregistered {
		if limited(account) {
			use(account)
		}
	}
	if full {
		o.accounts.shares.EachAccount(func(account string) { use(account) })
	}
	for _, u := range uses {
		r.Accounts = append(r.Accounts, *u)
	}
	return r
}

// addWaiting adds n waiting tasks to an account's demand.
func addWaiting(u *quota.Usage, st *jobs.Step, n int, limit platform.Resources) {
	fraction := func(tasks int) float64 {
		return placement.MaxFraction(placement.LimitCharge(st.Needs, limit, tasks), limit)
	}
	u.Demand += float64(n) * fraction(1)
	step := fraction(1)
	if st.Gang {
		step = fraction(n)
	}
	if u.MinStart == 0 || step < u.MinStart {
		u.MinStart = step
	}
}
