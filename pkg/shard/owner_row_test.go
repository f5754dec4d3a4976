package shard

import (
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/quota"
)

// TestOddOwnerRow guards against an owner row after which no term is higher, or whose former owner never ends.
func TestOddOwnerRow(t *testing.T) {
	commit, err := encode(commitRow{Entry: "e1", Start: 7, Term: 12})
	qt.Assert(t, err, qt.IsNil)
	for name, tc := range map[string]struct {
		row  OwnerRow
		want int64 // the term that a takeover follows
	}{
		"sound":             {OwnerRow{Entry: "e2", Term: 13, FormerGrace: time.Second}, 13},
		"highest term":      {OwnerRow{Entry: "e2", Term: math.MaxInt64}, 12},
		"tokens overflow":   {OwnerRow{Entry: "e2", Term: maxTerm + 1}, 12},
		"negative term":     {OwnerRow{Entry: "e2", Term: -1}, 12},
		"endless former":    {OwnerRow{Entry: "e2", Term: 13, FormerGrace: math.MaxInt64}, 12},
		"negative former":   {OwnerRow{Entry: "e2", Term: 13, FormerGrace: -1}, 12},
		"former for a year": {OwnerRow{Entry: "e2", Term: 13, FormerGrace: 365 * 24 * time.Hour}, 12},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := EncodeOwner(tc.row)
			qt.Assert(t, err, qt.IsNil)
			predecessor, err := decodePredecessor(platform.Row{Version: 1, Value: raw}, platform.Row{Version: 1, Value: commit})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, predecessor.Term, qt.Equals, tc.want)
			qt.Check(t, (predecessor.Term+1)*tokensPerTerm > 0, qt.IsTrue)
		})
	}
}

// TestOddCommitRow guards against a term from a commit row, in place of a malformed owner row, after which none is higher.
func TestOddCommitRow(t *testing.T) {
	for name, tc := range map[string]struct {
		term int64
		want bool
	}{
		"sound": {12, true}, "highest possible": {maxTerm, true}, "none": {0, false}, "negative": {-1, false},
		"tokens overflow": {maxTerm + 1, false}, "highest term": {math.MaxInt64, false},
	} {
		t.Run(name, func(t *testing.T) {
			commit, err := encode(commitRow{Entry: "e1", Term: tc.term})
			qt.Assert(t, err, qt.IsNil)
			predecessor, err := decodePredecessor(platform.Row{Version: 1, Value: []byte{0x01}}, platform.Row{Version: 1, Value: commit})
			qt.Check(t, err == nil, qt.Equals, tc.want)
			if tc.want {
				qt.Check(t, predecessor.Term, qt.Equals, tc.term)
			}
		})
	}
}

// TestLastTerm guards against a term below that of the allocator whose grant a shard has persisted.
func TestLastTerm(t *testing.T) {
	const allocator = "fleet"
	owner, err := EncodeOwner(OwnerRow{Entry: "e1", Term: 12})
	qt.Assert(t, err, qt.IsNil)
	commit, err := encode(commitRow{Entry: "e1", Term: 12})
	qt.Assert(t, err, qt.IsNil)
	malformed := []byte("\xc1 not ours")
	for name, tc := range map[string]struct {
		owner, commit []byte
		want          int64
		fails         bool
	}{
		"never owned":             {},
		"owned":                   {owner: owner, commit: commit, want: 12},
		"owner malformed":         {owner: malformed, commit: commit, want: 12},
		"commit malformed":        {owner: owner, commit: malformed, want: 12},
		"owner alone, malformed":  {owner: malformed, fails: true},
		"both of them, malformed": {owner: malformed, commit: malformed, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			rows := fake.NewRows(time.Microsecond, time.Second).As("e")
			txn := platform.RowTxn{}
			for key, raw := range map[platform.RowKey][]byte{ownerKey(allocator): tc.owner, commitKey(allocator): tc.commit} {
				if raw != nil {
					txn.Put = append(txn.Put, platform.Row{RowKey: key, Value: raw})
				}
			}
			_, err := rows.CommitRows(context.Background(), txn)
			qt.Assert(t, err, qt.IsNil)
			stored := storedState{}
			err = stored.replaceShares(context.Background(), rows, allocator, 3)
			qt.Assert(t, err != nil, qt.Equals, tc.fails)
			if !tc.fails {
				qt.Check(t, stored.shares, qt.DeepEquals, quota.LostRow(tc.want, 3))
			}
		})
	}
}
