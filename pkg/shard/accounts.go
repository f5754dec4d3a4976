package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/allowance"
	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// logLimitEvery is the time between two lines about an account that is at its limit.
const logLimitEvery = time.Second

// accounts is what an owner knows of client accounts, beside the catalog.
type accounts struct {
	shares   *allowance.Shard
	changed  bool                          // the shares are to be written
	departed map[string]platform.Resources // limits of accounts that have left the configuration
	logged   map[string]time.Duration      // when an account was last said to be at its limit
	promised map[string]*promise           // what is left of the jobs a second that an account has been promised
}

// promiseBurst is the time of which an account may hand in the jobs that it has been
// promised at once.
const promiseBurst = time.Second

// promise is a bucket of the jobs that an account may still hand in within its promise.
type promise struct {
	left float64
	at   time.Duration // when left was last reckoned
}

// take takes one job of a promise of so many jobs a second; it reports whether there was one left.
func (p *promise) take(perSecond float64, now time.Duration) bool {
	most := max(1, perSecond*promiseBurst.Seconds())
	p.left = min(most, p.left+perSecond*(now-p.at).Seconds())
	p.at = now
	if p.left < 1 {
		return false
	}
	p.left--
	return true
}

// beyondPromise tells whether a job that an account hands in now is more than it has
// been promised; an account that has been promised nothing is always beyond.
func (o *Owner) beyondPromise(account string) bool {
	if account == "" || o.catalog == nil {
		return false
	}
	a := o.catalog.Account(account)
	if a == nil || a.Weight <= 0 {
		return a != nil
	}
	p := o.accounts.promised[account]
	if p == nil {
		p = &promise{left: a.Weight * promiseBurst.Seconds(), at: o.now()}
		o.accounts.promised[account] = p
	}
	return !p.take(a.Weight, o.now())
}

func newAccounts(kept allowance.Row) accounts {
	return accounts{
		shares: allowance.NewShard(kept), departed: map[string]platform.Resources{}, logged: map[string]time.Duration{},
		promised: map[string]*promise{},
	}
}

// departFrom keeps the limits of accounts that leave the configuration: what they have
// handed in is still run, within the limit they had.
func (a *accounts) departFrom(old, c *catalog.Catalog) {
	for i := range old.Accounts {
		if was := &old.Accounts[i]; c.Account(was.Name) == nil {
			a.departed[was.Name] = was.Limit
		}
	}
}

// limitOf is an account's limit, with 0 for what has none.
func (o *Owner) limitOf(account string) platform.Resources {
	if o.catalog == nil || account == "" {
		return platform.Resources{}
	}
	if a := o.catalog.Account(account); a != nil {
		return a.Limit
	}
	return o.accounts.departed[account]
}

// TakeGrant takes shares of accounts' limits.
func (o *Owner) TakeGrant(g allowance.Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over || o.releasing || !o.accounts.shares.Take(g) {
		return
	}
	o.log.Info().Str("event", "shares_taken").Int64("holder_term", g.Term).Int64("seq", g.Seq).Int("accounts", len(g.Shares)).Send()
	o.accounts.changed = true
	o.kickCommit()
	o.kickPlacement()
}

// putShares adds the shares of accounts' limits if they have changed.
func (o *Owner) putShares(b *batch) error {
	if !o.accounts.changed || !b.room() {
		return nil
	}
	row := o.accounts.shares.Next()
	raw, err := encode(row)
	if err != nil {
		return err
	}
	o.accounts.changed = false
	b.shares = &row
	b.put(sharesRowKey(o.cfg.Pool), raw)
	return nil
}

// besides is what each account has or may have running besides the attempts in the
// book: attempts that a former owner started and that are being stopped, and what its
// tasks may take at workers that have not been heard since the takeover.
func (o *Owner) besides() map[string]platform.Resources {
	sum := map[string]platform.Resources{}
	add := func(account string, needs platform.Resources) {
		if account != "" && needs != (platform.Resources{}) {
			sum[account] = sum[account].Add(needs)
		}
	}
	for _, s := range o.sessions {
		for _, st := range s.foreign {
			add(st.account, st.needs)
		}
	}
	if o.heldAll {
		o.book.All(func(j *jobs.Job) { add(j.Account, j.Unseen()) })
		return sum
	}
	for _, s := range o.sessions {
		for _, name := range s.former.tasks {
			if t := o.book.Task(name); t != nil {
				add(t.Step.Job.Account, t.Step.Spec.Needs)
			}
		}
	}
	return sum
}

// budgets are what accounts may still have started in this pass of placement.
type budgets struct {
	o       *Owner
	besides map[string]platform.Resources
	byName  map[string]*placement.Budget
}

func (o *Owner) newBudgets() *budgets {
	return &budgets{o: o, besides: o.besides(), byName: map[string]*placement.Budget{}}
}

// of returns the budget of an account, nil if no limit binds it.
func (b *budgets) of(account string) *placement.Budget {
	if got, ok := b.byName[account]; ok {
		return got
	}
	var budget *placement.Budget
	limit := b.o.limitOf(account)
	if limit != (platform.Resources{}) && b.o.accounts.shares.Bound() {
		running := b.o.book.Held(account).Add(b.besides[account])
		budget = placement.NewBudget(limit, b.o.accounts.shares.Share(account), running)
	}
	b.byName[account] = budget
	return budget
}

// noteAtLimit says in the log which accounts had tasks that were held back by their limit.
func (o *Owner) noteAtLimit(cs []placement.Candidate, now time.Duration) {
	for i := range cs {
		b, account := cs[i].Budget, cs[i].Step.Job.Account
		if b == nil || !b.Short || o.accounts.logged[account] > 0 && now-o.accounts.logged[account] < logLimitEvery {
			continue
		}
		o.accounts.logged[account] = now
		o.cfg.Metrics.AccountAtLimit(account)
		o.log.Info().Str("event", "account_at_limit").Str("account", account).Float64("share", o.accounts.shares.Share(account)).
			Int("limit_cpu", b.Limit.CPU).Int("limit_memory_mb", b.Limit.MemoryMB).Int("cpu_left", b.Left.CPU).Int("memory_left_mb", b.Left.MemoryMB).
			Str("job", cs[i].Step.Job.ID).Send()
	}
}

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
	o.eachIdle(false, func(s *jobs.StepRun, idle []*jobs.Task) {
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
