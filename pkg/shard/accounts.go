package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quota"
)

// limitLogInterval is the minimum time between two log lines on an account that is at its limit.
const limitLogInterval = time.Second

// accounts is the state of client accounts that is not in the catalog.
type accounts struct {
	shares     *quota.ShardShares            // of the limits of accounts
	changed    bool                          // the shares are to be written
	removed    map[string]platform.Resources // limits of accounts no longer in the catalog
	loggedAt   map[string]time.Duration      // when an account was last logged as at its limit
	guaranteed map[string]*guaranteedRate    // token buckets of guaranteed rates
}

func newAccounts(stored quota.Row) accounts {
	return accounts{
		shares: quota.NewShardShares(stored), removed: map[string]platform.Resources{}, loggedAt: map[string]time.Duration{},
		guaranteed: map[string]*guaranteedRate{},
	}
}

// retainRemoved keeps the limits of accounts that are removed from the catalog, since the jobs they
// have submitted still run.
func (a *accounts) retainRemoved(old, c *catalog.Catalog) {
	for i := range old.Accounts {
		if account := &old.Accounts[i]; c.Account(account.Name) == nil {
			a.removed[account.Name] = account.Limit
		}
	}
}

// limitOf returns the limit of an account, 0 for resources without one.
func (o *Owner) limitOf(account string) platform.Resources {
	if o.catalog == nil || account == "" {
		return platform.Resources{}
	}
	if a := o.catalog.Account(account); a != nil {
		return a.Limit
	}
	return o.accounts.removed[account]
}

// ApplyGrant applies granted shares of the limits of accounts.
func (o *Owner) ApplyGrant(g quota.Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.releasing || !o.accounts.shares.Apply(g) {
		return
	}
	o.log.Info().Str("event", "shares_taken").Int64("holder_term", g.Term).Int64("seq", g.Seq).Int("accounts", len(g.Shares)).Send()
	o.accounts.changed = true
	o.requestCommit()
	o.requestPlacement()
}

// putShares adds the shares of the limits of accounts to a batch if they have changed.
func (o *Owner) putShares(b *batch) error {
	if !o.accounts.changed || !b.room() {
		return nil
	}
	row := o.accounts.shares.Pending()
	raw, err := encode(row)
	if err != nil {
		return err
	}
	o.accounts.changed = false
	b.shares = &row
	b.put(sharesRowKey(o.cfg.Pool), raw)
	return nil
}

// unregisteredUsage returns what each account has or may have running besides the attempts in the
// registry: attempts of former owners that are being stopped, and tasks that may be at workers that
// have not reported since the takeover.
func (o *Owner) unregisteredUsage() map[string]platform.Resources {
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
	if o.formerTasksUnknown {
		o.registry.All(func(j *jobs.Job) { add(j.Account, j.Unconfirmed()) })
		return sum
	}
	for _, s := range o.sessions {
		for _, name := range s.former.names {
			if t := o.registry.Task(name); t != nil {
				add(t.Step.Job.Account, t.Step.Spec.Needs)
			}
		}
	}
	return sum
}

// budgets are what accounts may still start in one placement pass.
type budgets struct {
	o            *Owner
	unregistered map[string]platform.Resources
	byName       map[string]*placement.Budget
}

func (o *Owner) newBudgets() *budgets {
	return &budgets{o: o, unregistered: o.unregisteredUsage(), byName: map[string]*placement.Budget{}}
}

// of returns the budget of an account, nil if it has no limit.
func (b *budgets) of(account string) *placement.Budget {
	if got, ok := b.byName[account]; ok {
		return got
	}
	var budget *placement.Budget
	limit := b.o.limitOf(account)
	if limit != (platform.Resources{}) && b.o.accounts.shares.Enforced() {
		running := b.o.registry.Allocated(account).Add(b.unregistered[account])
		budget = placement.NewBudget(limit, b.o.accounts.shares.Share(account), running)
	}
	b.byName[account] = budget
	return budget
}

// logAccountsAtLimit logs the accounts with tasks that did not start because of their limit.
func (o *Owner) logAccountsAtLimit(cs []placement.Candidate, now time.Duration) {
	for i := range cs {
		b, account := cs[i].Budget, cs[i].Step.Job.Account
		if b == nil || !b.Exceeded || o.accounts.loggedAt[account] > 0 && now-o.accounts.loggedAt[account] < limitLogInterval {
			continue
		}
		o.accounts.loggedAt[account] = now
		o.cfg.Metrics.AccountAtLimit(account)
		o.log.Info().Str("event", "account_at_limit").Str("account", account).Float64("share", o.accounts.shares.Share(account)).
			Int("limit_cpu", b.Limit.CPU).Int("limit_memory_mb", b.Limit.MemoryMB).Int("cpu_left", b.Left.CPU).Int("memory_left_mb", b.Left.MemoryMB).
			Str("job", cs[i].Step.Job.ID).Send()
	}
}
