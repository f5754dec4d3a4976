package quota

import (
	"maps"
	"slices"
)

// Grant sets the shares of some accounts at one shard.
type Grant struct {
	Term   int64              `msgpack:"t"`           // ownership term of the allocator
	Seq    int64              `msgpack:"s"`           // sequence number of the grant to this shard within the term
	Full   bool               `msgpack:"f,omitempty"` // asks the shard to report all its accounts
	Shares map[string]float64 `msgpack:"a,omitempty"` // fractions of the limits, by account; other shares are unchanged
}

// Row is the state that a shard persists in the table service.
type Row struct {
	Term     int64              `msgpack:"t"`
	Seq      int64              `msgpack:"s"`
	Enforced bool               `msgpack:"b"` // limits are enforced, which they are once shares were granted
	Shares   map[string]float64 `msgpack:"a"`
}

// seqsPerTakeover is more grants than an allocator makes to a shard between two takeovers of it.
const seqsPerTakeover = 1 << 22

// LostRow returns the row with which a shard goes on after its own can't be read. It allows nothing, and rejects all
// grants made before the allocator has had a report on it. The term is at least that of the last allocator whose grant
// the shard can have persisted; takeover is a number that rises with each takeover of the shard.
func LostRow(term, takeover int64) Row {
	return Row{Term: term, Seq: takeover * seqsPerTakeover, Enforced: true}
}

// SplitOff returns the row without shares that are no fractions, and the accounts that had them. Such an account starts
// nothing until its next grant.
func (r Row) SplitOff() (sound Row, odd []string) {
	sound, sound.Shares = r, maps.Clone(r.Shares)
	for account, share := range r.Shares {
		if !(share >= -epsilon && share <= 1+epsilon) { // not a number, too
			odd = append(odd, account)
			delete(sound.Shares, account)
		}
	}
	slices.Sort(odd)
	return sound, odd
}

// Usage is a shard's report on one account, in fractions of the account's limit.
type Usage struct {
	Account  string  `msgpack:"n"`
	Running  float64 `msgpack:"r"` // used or possibly used by running tasks, including those being stopped
	Demand   float64 `msgpack:"w"` // Running plus waiting tasks
	MinStart float64 `msgpack:"p"` // smallest increase of Running by starting a task, 0 if none waits
	MaxShare float64 `msgpack:"h"` // the higher of the persisted and the granted share
}

// Report is a shard's report on its accounts.
type Report struct {
	Term     int64   `msgpack:"t"` // allocator term that the shard persisted
	Seq      int64   `msgpack:"s"` // last grant of that term that the shard persisted
	Enforced bool    `msgpack:"b"`
	Full     bool    `msgpack:"f"` // all accounts are listed, not only those with work
	Accounts []Usage `msgpack:"a"`
}
