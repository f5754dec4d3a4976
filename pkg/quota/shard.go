package quota

import "maps"

// ShardShares holds one shard's shares of the limits. It is not safe for concurrent use.
type ShardShares struct {
	persisted Row // stored in the table service
	pending   Row // to be stored
}

// NewShardShares returns the shares of a shard from its persisted row, the zero Row for a new
// shard.
func NewShardShares(persisted Row) *ShardShares {
	return &ShardShares{persisted: persisted, pending: persisted}
}

// Apply applies a grant and reports whether the row changed. A share may fall below the running
// work; the allocator counts running tasks until they end.
func (s *ShardShares) Apply(g Grant) (changed bool) {
	if g.Term < s.pending.Term || g.Term == s.pending.Term && g.Seq <= s.pending.Seq {
		return false // of a former allocator, or out of date
	}
	newTerm := g.Term != s.pending.Term
	s.pending.Term, s.pending.Seq = g.Term, g.Seq
	if len(g.Shares) == 0 {
		return newTerm
	}
	s.pending.Enforced = true
	s.pending.Shares = maps.Clone(s.pending.Shares)
	if s.pending.Shares == nil {
		s.pending.Shares = map[string]float64{}
	}
	maps.Copy(s.pending.Shares, g.Shares)
	return true
}

// Pending returns the row to persist.
func (s *ShardShares) Pending() Row { return s.pending }

// MarkPersisted records that a row returned by Pending was persisted.
func (s *ShardShares) MarkPersisted(r Row) { s.persisted = r }

// Enforced reports whether limits are enforced here, which they are once shares were granted.
func (s *ShardShares) Enforced() bool { return s.pending.Enforced }

// Share returns the fraction of an account's limit that may run here. A raised share is used before
// it is persisted: a new owner counts the work that runs, and the allocator the higher of that and
// the share.
func (s *ShardShares) Share(account string) float64 { return s.pending.Shares[account] }

// MaxShare returns the greatest share that any owner of the shard may use: the higher of the
// persisted and the pending one.
func (s *ShardShares) MaxShare(account string) float64 {
	return max(s.persisted.Shares[account], s.pending.Shares[account])
}

// EachAccount calls f for each account with a share here.
func (s *ShardShares) EachAccount(f func(account string)) {
	for account := range s.pending.Shares {
		f(account)
	}
}

// Report returns the report to the allocator, without accounts.
func (s *ShardShares) Report() Report {
	return Report{Term: s.persisted.Term, Seq: s.persisted.Seq, Enforced: s.pending.Enforced}
}
