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
	if o.closed || o.releasing || !o.accounts.shares.Take(g) {
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
	if o.formerAnyTask {
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
