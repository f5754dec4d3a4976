package allowance

import (
	"math"
	"slices"
)

const (
	// leastRoom is the part of the room that each shard should have above what is
	// wanted below which shares are divided anew: at a half, the shares of an account
	// that is far below its limit are moved a few times while demand passes from one
	// pool to another, and stand still else.
	leastRoom = 0.5
	// leastChange is by how much of the limit a share has to be off to be changed while
	// an account is at its limit, unless a start hangs on less.
	leastChange = 0.02
	// rounding covers the rounding of sums.
	rounding = 1e-9
)

// Allocator divides the limits of accounts among shards. It is not safe for concurrent use.
type Allocator struct {
	term  int64
	books map[string]*book // by shard
}

// book is what the holder knows of one shard.
type book struct {
	seq   int64 // of the last grant
	taken int64 // of the last grant that the shard has reported as kept
	known bool  // the shard keeps this holder's term, and has reported all accounts since
	bound bool
	uses  map[string]Usage    // as reported last
	sent  map[string][]sent // by account, shares that are not known to be kept, oldest first
}

// sent is a share that was granted.
type sent struct {
	seq   int64
	share float64
}

// NewAllocator returns the holder of a term of ownership; it knows nothing yet.
func NewAllocator(term int64) *Allocator { return &Allocator{term: term, books: map[string]*book{}} }

func (h *Allocator) book(shard string) *book {
	b := h.books[shard]
	if b == nil {
		b = &book{uses: map[string]Usage{}, sent: map[string][]sent{}}
		h.books[shard] = b
	}
	return b
}

// HandleReport takes a shard's report.
func (h *Allocator) HandleReport(shard string, r Report) {
	b := h.book(shard)
	if r.Term != h.term || r.Seq < b.taken {
		return // it does not know this holder yet, or speaks of what has passed
	}
	b.taken, b.bound = r.Seq, r.Enforced
	if r.Full {
		b.known = true
		clear(b.uses)
	}
	if !b.known {
		return
	}
	for account, u := range b.uses {
		b.uses[account] = Usage{Account: account, Share: u.Share} // without work unless reported
	}
	for _, u := range r.Accounts {
		b.uses[u.Account] = u
	}
	if r.Full {
		b.settle(r.Seq)
	}
}

// settle forgets shares of grants that are kept, since the report names what follows from them.
func (b *book) settle(kept int64) {
	for account, all := range b.sent {
		all = slices.DeleteFunc(all, func(s sent) bool { return s.seq <= kept })
		if len(all) == 0 {
			delete(b.sent, account)
			continue
		}
		b.sent[account] = all
	}
}

// outstanding is the part of an account's limit that the shard may hold. What runs may
// be more than its share: a former owner may have used one that was not kept.
func (b *book) outstanding(account string) float64 {
	u := b.uses[account]
	most := max(u.Share, u.Running)
	for _, s := range b.sent[account] {
		most = max(most, s.share)
	}
	return most
}

// unsettled are the shares that are not known to be kept, as granted last.
func (b *book) unsettled() map[string]float64 {
	if len(b.sent) == 0 {
		return nil
	}
	shares := make(map[string]float64, len(b.sent))
	for account, all := range b.sent {
		shares[account] = all[len(all)-1].share
	}
	return shares
}

// Plan returns the grants that shards are to get; accounts are those that have a limit.
// One that has left the configuration is divided for as long as it has work: its shares
// would else stay where its last work was, and tasks that wait elsewhere would wait for good.
func (h *Allocator) Plan(shards, accounts []string) map[string]Grant {
	grants := map[string]Grant{}
	if !h.allKnown(shards) {
		for _, s := range shards {
			if b := h.book(s); !b.known {
				grants[s] = h.grant(b, nil)
			}
		}
		return grants
	}
	shares := map[string]map[string]float64{}
	for _, account := range h.withWork(shards, accounts) {
		h.planAccount(account, shards, func(shard string, share float64) {
			if shares[shard] == nil {
				shares[shard] = map[string]float64{}
			}
			shares[shard][account] = share
		})
	}
	for _, s := range shards {
		b := h.book(s)
		if len(shares[s]) > 0 || len(b.sent) > 0 {
			grants[s] = h.grant(b, shares[s])
		}
	}
	return grants
}

// withWork returns the accounts, and others that shards report work of.
func (h *Allocator) withWork(shards, accounts []string) []string {
	named := make(map[string]bool, len(accounts))
	for _, account := range accounts {
		named[account] = true
	}
	all := slices.Clone(accounts)
	for _, s := range shards {
		for account, u := range h.book(s).uses {
			if !named[account] && u.want() > 0 {
				named[account] = true
				all = append(all, account)
			}
		}
	}
	return all
}

func (h *Allocator) allKnown(shards []string) bool {
	return !slices.ContainsFunc(shards, func(s string) bool { return !h.book(s).known })
}

// grant makes the next grant to a shard, with all that is not known to be kept there,
// and counts it as taken from now on. Without news it is the last one again.
func (h *Allocator) grant(b *book, shares map[string]float64) Grant {
	if len(shares) > 0 {
		b.seq++
	}
	for account, share := range shares {
		b.sent[account] = append(b.sent[account], sent{seq: b.seq, share: share})
	}
	return Grant{Term: h.term, Seq: b.seq, Full: true, Shares: b.unsettled()}
}

// planAccount divides one account's limit, as far as what is outstanding leaves room.
func (h *Allocator) planAccount(account string, shards []string, set func(shard string, share float64)) {
	uses := make([]Usage, len(shards))
	held := make([]float64, len(shards))
	free := 1.0
	unbound := false
	for i, s := range shards {
		b := h.book(s)
		uses[i] = b.uses[account]
		held[i] = b.outstanding(account)
		free -= held[i]
		unbound = unbound || !b.bound
	}
	shares := Divide(uses)
	if !unbound && !worthwhile(uses, held, shares) {
		return
	}
	rise := 0.0
	for i := range shares {
		rise += max(0, shares[i]-held[i])
	}
	part := 0.0
	if free > rounding {
		part = min(1, (free-rounding)/max(rise, rounding))
	}
	for i, s := range shards {
		switch {
		case shares[i] < held[i]:
			set(s, shares[i])
		case part > 0 || unbound:
			set(s, held[i]+part*(shares[i]-held[i]))
		}
	}
}

// worthwhile tells whether shares that are held are so far from those that should be
// that some shard may soon have to wait.
func worthwhile(uses []Usage, held, shares []float64) bool {
	for i := range uses {
		u := &uses[i]
		room := shares[i] - u.want()
		switch {
		case u.MinStart > 0 && held[i] < u.Running+u.MinStart && shares[i] >= u.Running+u.MinStart:
			return true
		case room > 0 && held[i]-u.want() < leastRoom*room:
			return true
		case math.Abs(shares[i]-held[i]) > leastChange && held[i] < u.want():
			return true
		}
	}
	return false
}
