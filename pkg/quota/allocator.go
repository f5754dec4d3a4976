package quota

import (
	"math"
	"slices"
)

const (
	// minHeadroom is the fraction of a shard's target headroom, its target share less its demand,
	// below which shares are rebalanced. It limits how often shares change while an account is far
	// below its limit.
	minHeadroom = 0.5
	// minChange is the smallest change of a share, as a fraction of the limit, that triggers a
	// rebalance for an account at its limit, unless it allows a task to start.
	minChange = 0.02
	// epsilon is the tolerance for floating-point rounding errors.
	epsilon = 1e-9
)

// Allocator divides the limits of accounts among shards. It is not safe for concurrent use.
type Allocator struct {
	term   int64
	shards map[string]*status // by name
}

// status is the allocator's state of one shard.
type status struct {
	lastSeq  int64 // of the last grant
	ackedSeq int64 // of the last grant that the shard reported as persisted
	synced   bool  // the shard persisted this allocator's term and then reported all accounts
	enforced bool
	usage    map[string]Usage          // as last reported, by account
	unacked  map[string][]grantedShare // by account: granted shares not known to be persisted, oldest first
}

// grantedShare is a share granted to a shard.
type grantedShare struct {
	seq   int64
	share float64
}

// NewAllocator returns the allocator of an ownership term, which knows no shard yet.
func NewAllocator(term int64) *Allocator { return &Allocator{term: term, shards: map[string]*status{}} }

func (a *Allocator) status(shard string) *status {
	st := a.shards[shard]
	if st == nil {
		st = &status{usage: map[string]Usage{}, unacked: map[string][]grantedShare{}}
		a.shards[shard] = st
	}
	return st
}

// HandleReport processes a shard's report.
func (a *Allocator) HandleReport(shard string, r Report) {
	st := a.status(shard)
	if r.Term != a.term || r.Seq < st.ackedSeq {
		return // of another allocator's term, or out of date
	}
	st.ackedSeq, st.enforced = r.Seq, r.Enforced
	st.lastSeq = max(st.lastSeq, r.Seq) // higher if the shard has lost its row
	if r.Full {
		st.synced = true
		clear(st.usage)
	}
	if !st.synced {
		return
	}
	for account, u := range st.usage {
		st.usage[account] = Usage{Account: account, MaxShare: u.MaxShare} // without work unless reported
	}
	for _, u := range r.Accounts {
		st.usage[u.Account] = u
	}
	if r.Full {
		st.dropAcked(r.Seq)
	}
}

// dropAcked removes granted shares that the shard persisted, since its reports include them.
func (st *status) dropAcked(acked int64) {
	for account, all := range st.unacked {
		all = slices.DeleteFunc(all, func(s grantedShare) bool { return s.seq <= acked })
		if len(all) == 0 {
			delete(st.unacked, account)
			continue
		}
		st.unacked[account] = all
	}
}

// maxShare returns the greatest share of an account that the shard may have. Running work may
// exceed the reported share: a former owner may have used a share that was not persisted.
func (st *status) maxShare(account string) float64 {
	u := st.usage[account]
	most := max(u.MaxShare, u.Running)
	for _, s := range st.unacked[account] {
		most = max(most, s.share)
	}
	return most
}

// unackedShares returns the last granted shares that are not known to be persisted.
func (st *status) unackedShares() map[string]float64 {
	if len(st.unacked) == 0 {
		return nil
	}
	shares := make(map[string]float64, len(st.unacked))
	for account, all := range st.unacked {
		shares[account] = all[len(all)-1].share
	}
	return shares
}

// Plan returns the next grants, by shard. The accounts are those with a limit. Accounts removed
// from the configuration are included while they have work, since tasks waiting in a shard without
// a share would otherwise never start. Until all shards are synchronized it raises no share.
func (a *Allocator) Plan(shards, accounts []string) map[string]Grant {
	grants := map[string]Grant{}
	if !a.allSynced(shards) {
		for _, s := range shards {
			if st := a.status(s); !st.synced {
				grants[s] = a.grant(st, nil)
			}
		}
		return grants
	}
	shares := map[string]map[string]float64{}
	for _, account := range a.activeAccounts(shards, accounts) {
		a.planAccount(account, shards, func(shard string, share float64) {
			if shares[shard] == nil {
				shares[shard] = map[string]float64{}
			}
			shares[shard][account] = share
		})
	}
	for _, s := range shards {
		st := a.status(s)
		if len(shares[s]) > 0 || len(st.unacked) > 0 {
			grants[s] = a.grant(st, shares[s])
		}
	}
	return grants
}

// activeAccounts returns the given accounts and all others that shards report work for.
func (a *Allocator) activeAccounts(shards, accounts []string) []string {
	named := make(map[string]bool, len(accounts))
	for _, account := range accounts {
		named[account] = true
	}
	all := slices.Clone(accounts)
	for _, s := range shards {
		for account, u := range a.status(s).usage {
			if !named[account] && u.demand() > 0 {
				named[account] = true
				all = append(all, account)
			}
		}
	}
	return all
}

func (a *Allocator) allSynced(shards []string) bool {
	return !slices.ContainsFunc(shards, func(s string) bool { return !a.status(s).synced })
}

// grant returns the next grant to a shard and records it as unacknowledged. It repeats all shares
// not known to be persisted; without new shares it equals the last grant.
func (a *Allocator) grant(st *status, shares map[string]float64) Grant {
	if len(shares) > 0 {
		st.lastSeq++
	}
	for account, share := range shares {
		st.unacked[account] = append(st.unacked[account], grantedShare{seq: st.lastSeq, share: share})
	}
	return Grant{Term: a.term, Seq: st.lastSeq, Full: true, Shares: st.unackedShares()}
}

// planAccount divides one account's limit. It raises shares only by the part of the limit that no
// shard may be using.
func (a *Allocator) planAccount(account string, shards []string, set func(shard string, share float64)) {
	usage := make([]Usage, len(shards))
	held := make([]float64, len(shards))
	free := 1.0
	notEnforced := false
	for i, s := range shards {
		st := a.status(s)
		usage[i] = st.usage[account]
		held[i] = st.maxShare(account)
		free -= held[i]
		notEnforced = notEnforced || !st.enforced
	}
	shares := Divide(usage)
	if !notEnforced && !needsRebalance(usage, held, shares) {
		return
	}
	increase := 0.0
	for i := range shares {
		increase += max(0, shares[i]-held[i])
	}
	fraction := 0.0
	if free > epsilon {
		fraction = min(1, (free-epsilon)/max(increase, epsilon))
	}
	for i, s := range shards {
		switch {
		case shares[i] < held[i]:
			set(s, min(1, shares[i])) // more than the limit may be running
		case fraction > 0 || notEnforced:
			set(s, min(1, held[i]+fraction*(shares[i]-held[i])))
		}
	}
}

// needsRebalance reports whether the held shares differ so much from the target shares that tasks
// may soon wait.
func needsRebalance(usage []Usage, held, shares []float64) bool {
	for i := range usage {
		u := &usage[i]
		headroom := shares[i] - u.demand()
		switch {
		case u.MinStart > 0 && held[i] < u.Running+u.MinStart && shares[i] >= u.Running+u.MinStart:
			return true
		case headroom > 0 && held[i]-u.demand() < minHeadroom*headroom:
			return true
		case math.Abs(shares[i]-held[i]) > minChange && held[i] < u.demand():
			return true
		}
	}
	return false
}
