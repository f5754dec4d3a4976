package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Identity identifies one incarnation of an entry, from the start of its process to its end.
type Identity struct {
	Entry   string
	Start   int64  // tells incarnations of the entry apart
	Address string // of its peer listener
}

// ErrNotOwner reports that another entry owns the shard or has taken it over.
type ErrNotOwner struct {
	Owner OwnerRow // its Entry is a description if the name of the entry is not known
}

// Error names the owner.
func (e ErrNotOwner) Error() string { return "the shard is owned by " + e.Owner.Entry }

// Claim is the ownership that a takeover of a shard has just established.
type Claim struct {
	Term                    int64
	OwnerVersion            int64         // of the owner row
	commitVersion           int64         // of the commit row
	sentAt                  time.Duration // when the transaction was sent
	predecessor             OwnerRow      // last owner before this one
	row                     platform.Row  // owner row as written
	formerGrace             time.Duration // how long after the takeover any former owner may still act
	graceWithoutPredecessor time.Duration // the same for former owners other than the predecessor
}

// Handover is what an owner that releases its shard writes for the next one.
type Handover struct {
	Entry       string           // entry that should take over, empty for any
	FormerGrace time.Duration    // how long owners before the releasing one may still act
	StopsEnded  bool             // see OwnerRow.StopsEnded
	Stops       map[string]int64 // see OwnerRow.Stops
}

// Release writes an owner row without an owner, so that another entry can take over at once.
func (c Claim) Release(ctx context.Context, rows platform.Rows, pool string, to Handover) (err error) {
	return c.ReleaseWith(ctx, rows, pool, to, platform.RowTxn{})
}

// ReleaseWith does what Release does, as part of txn. The row keeps the term, and names the next
// entry if there is one. It gives up after releaseTimeout, since a planned stop waits for it.
func (c Claim) ReleaseWith(ctx context.Context, rows platform.Rows, pool string, to Handover, txn platform.RowTxn) (err error) {
	defer func() { err = errors.Wrapf(err, "release shard %s", pool) }()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	raw, err := encode(OwnerRow{Term: c.Term, Next: to.Entry, FormerGrace: to.FormerGrace, StopsEnded: to.StopsEnded, Stops: to.Stops})
	if err != nil {
		return err
	}
	txn.Expect = append(txn.Expect, c.Precondition(pool))
	txn.Put = append(txn.Put, platform.Row{RowKey: ownerKey(pool), Value: raw})
	_, err = rows.CommitRows(ctx, txn)
	return err
}

// Precondition returns the row version that a transaction expects if it must only be carried out
// while the claim is current.
func (c Claim) Precondition(pool string) platform.Row {
	return platform.Row{RowKey: ownerKey(pool), Version: c.OwnerVersion}
}

// IsCurrent reads the owner row and reports whether it is still the one that the claim wrote.
func (c Claim) IsCurrent(ctx context.Context, rows platform.Rows, pool string) (current bool, err error) {
	row, err := ReadOwner(ctx, rows, pool)
	return err == nil && row.Version == c.OwnerVersion, err
}

// TakeOver writes this entry into the owner row, provided that the row still has the version in
// seen. It calls sending before it sends the transaction; an error without that call means that
// nothing was written. ended reports whether the process of an owner is known to have ended and
// may be nil.
func TakeOver(ctx context.Context, rows platform.Rows, clock *elapsed.Clock, pool string, self Identity, seen ObservedOwner, ended func(OwnerRow) bool, sending func()) (c Claim, err error) {
	defer func() { err = errors.Wrapf(err, "take over shard %s", pool) }()
	started := time.Now()
	owner, err := ReadRow(ctx, rows, ownerKey(pool))
	if err != nil {
		return c, err
	}
	latency := commitLatency{mean: time.Since(started)} // reads and writes are slow together
	commit, err := ReadRow(ctx, rows, commitKey(pool))
	if err != nil {
		return c, err
	}
	var predecessor OwnerRow
	if owner.Version > 0 {
		if predecessor, err = decodePredecessor(owner, commit); err != nil {
			return c, err
		}
	}
	if owner.Version != seen.Version {
		return c, ErrNotOwner{Owner: predecessor}
	}
	c.Term = predecessor.Term + 1
	c.predecessor, c.graceWithoutPredecessor = predecessor, remainingGrace(predecessor, commit, seen.Age)
	c.formerGrace = c.graceWithoutPredecessor
	if predecessor.Entry != "" && (ended == nil || !ended(predecessor)) {
		c.formerGrace = max(c.formerGrace, confirmationTTLWithDrift)
	}
	ownerRaw, err := encode(OwnerRow{Entry: self.Entry, Start: self.Start, Address: self.Address, Term: c.Term, FormerGrace: c.formerGrace})
	if err != nil {
		return c, err
	}
	commitRaw, err := encode(commitRow{Entry: self.Entry, Start: self.Start, Term: c.Term})
	if err != nil {
		return c, err
	}
	txn := platform.RowTxn{
		Expect: []platform.Row{{RowKey: ownerKey(pool), Version: owner.Version}, {RowKey: commitKey(pool), Version: commit.Version}},
		Put:    []platform.Row{{RowKey: ownerKey(pool), Value: ownerRaw}, {RowKey: commitKey(pool), Value: commitRaw}},
	}
	sending()
	c.sentAt = clock.Now()
	t := commitHedged(ctx, rows, clock, txn, latency.hedgeDelay(), func(time.Duration, error) {})
	if version, ok := ownTakeover(t.err, pool, self, c.Term); ok {
		t.version, t.err = version, nil
	}
	if t.err != nil {
		return c, t.err
	}
	c.OwnerVersion, c.commitVersion = t.version, t.version
	c.row = platform.Row{RowKey: ownerKey(pool), Value: ownerRaw, Version: t.version}
	return c, nil
}

// decodePredecessor decodes the owner row found at a takeover. If the row is malformed, the term
// comes from the commit row, which each takeover writes as well, so that terms keep rising.
func decodePredecessor(owner, commit platform.Row) (predecessor OwnerRow, err error) {
	if predecessor, err = DecodeOwner(owner.Value); err == nil {
		return predecessor, nil
	}
	var c commitRow
	if commitErr := msgpack.Unmarshal(commit.Value, &c); commitErr != nil || c.Term <= 0 || c.Term > maxTerm {
		return OwnerRow{}, err
	}
	return OwnerRow{Entry: c.Entry, Start: c.Start, Term: c.Term}, nil
}

// ownTakeover reports whether a conflict is with an earlier try of the same takeover, and returns
// the row version that this try wrote.
func ownTakeover(err error, pool string, self Identity, term int64) (version int64, ok bool) {
	var conflict platform.ErrConflict
	if !errors.As(err, &conflict) {
		return 0, false
	}
	for _, r := range conflict.Rows {
		if r.RowKey != ownerKey(pool) || r.Version == 0 {
			continue
		}
		row, err := DecodeOwner(r.Value)
		return r.Version, err == nil && row.Entry == self.Entry && row.Start == self.Start && row.Term == term
	}
	return 0, false
}
