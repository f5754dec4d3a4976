package allowance

import "maps"

// ShardShares holds the shares of one shard. It is not safe for concurrent use.
type ShardShares struct {
	kept Row // what the table service holds
	next Row // what it is to hold
}

// NewShardShares returns the shares of a shard whose row is kept; the zero row is that of a new shard.
func NewShardShares(kept Row) *ShardShares {
	return &ShardShares{kept: kept, next: kept}
}

// Apply takes a grant; it reports whether a row is to be kept. A share may fall below
// what runs, which goes on: the holder counts it until it has ended.
func (s *ShardShares) Apply(g Grant) (changed bool) {
	if g.Term < s.next.Term || g.Term == s.next.Term && g.Seq <= s.next.Seq {
		return false // of a former holder, or late
	}
	claims := g.Term != s.next.Term
	s.next.Term, s.next.Seq = g.Term, g.Seq
	if len(g.Shares) == 0 {
		return claims
	}
	s.next.Enforced = true
	s.next.Shares = maps.Clone(s.next.Shares)
	if s.next.Shares == nil {
		s.next.Shares = map[string]float64{}
	}
	maps.Copy(s.next.Shares, g.Shares)
	return true
}

// Pending is the row to be kept.
func (s *ShardShares) Pending() Row { return s.next }

// MarkPersisted notes that the table service holds a row that Next has returned.
func (s *ShardShares) MarkPersisted(r Row) { s.kept = r }

// Enforced tells whether limits bind here: some holder has granted shares.
func (s *ShardShares) Enforced() bool { return s.next.Enforced }

// Share is the part of an account's limit that may run here. One that was raised is
// used before it is kept: whoever follows counts what runs, and the holder the higher
// of that and the share.
func (s *ShardShares) Share(account string) float64 { return s.next.Shares[account] }

// MaxShare is the part that the shard may turn out to hold, whoever owns it next.
func (s *ShardShares) MaxShare(account string) float64 {
	return max(s.kept.Shares[account], s.next.Shares[account])
}

// EachAccount calls f for each account that has a share here.
func (s *ShardShares) EachAccount(f func(account string)) {
	for account := range s.next.Shares {
		f(account)
	}
}

// Report is what the holder is told, but for the accounts.
func (s *ShardShares) Report() Report {
	return Report{Term: s.kept.Term, Seq: s.kept.Seq, Enforced: s.next.Enforced}
}
