package shard

import (
	"github.com/gannetwell/gannetwell/pkg/allowance"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// demand counts the waiting tasks that their accounts' limits let run at all, so that a
// pool gets no VMs for those that they do not.
type demand struct {
	o    *Owner
	left map[string]*placement.Budget
}

func (o *Owner) newDemand() *demand { return &demand{o: o, left: map[string]*placement.Budget{}} }

// startable is how many of n waiting tasks of a step could run if their account had its
// whole limit in this pool.
func (d *demand) startable(s *jobs.StepRun, n int) int {
	account := s.Job.Account
	limit := d.o.limitOf(account)
	if limit == (platform.Resources{}) || !d.o.accounts.shares.Bound() {
		return n
	}
	b := d.left[account]
	if b == nil {
		b = placement.NewBudget(limit, 1, d.o.book.Held(account))
		d.left[account] = b
	}
	return b.TakeUpTo(s.Spec, n)
}

// reportAccounts says what accounts hold and want of their limits, with full also
// those that have no work here; the lock is held.
func (o *Owner) reportAccounts(full bool) allowance.Report {
	r := o.accounts.shares.Report()
	r.Full = full
	besides := o.besides()
	uses := map[string]*allowance.Use{}
	use := func(account string) *allowance.Use {
		u := uses[account]
		if u == nil {
			running := placement.PartOf(o.book.Held(account).Add(besides[account]), o.limitOf(account))
			u = &allowance.Use{Account: account, Running: running, Wanted: running, Share: o.accounts.shares.Outstanding(account)}
			uses[account] = u
		}
		return u
	}
	limited := func(account string) bool { return o.limitOf(account) != (platform.Resources{}) }
	// Tasks that must wait for the end of a takeover are in besides.
	o.eachStartable(false, func(s *jobs.StepRun, idle []*jobs.Task) {
		if account := s.Job.Account; limited(account) {
			addWaiting(use(account), s.Spec, len(idle), o.limitOf(account))
		}
	})
	o.book.EachHeld(func(account string) {
		if limited(account) {
			use(account)
		}
	})
	for account := range besides {
		if limited(account) {
			use(account)
		}
	}
	if full {
		o.accounts.shares.Accounts(func(account string) { use(account) })
	}
	for _, u := range uses {
		r.Accounts = append(r.Accounts, *u)
	}
	return r
}

// addWaiting adds n tasks that wait to what an account wants.
func addWaiting(u *allowance.Use, st *jobs.Step, n int, limit platform.Resources) {
	part := func(tasks int) float64 {
		return placement.PartOf(placement.Binding(st.Needs, limit, tasks), limit)
	}
	u.Wanted += float64(n) * part(1)
	step := part(1)
	if st.Gang {
		step = part(n)
	}
	if u.Step == 0 || step < u.Step {
		u.Step = step
	}
}
