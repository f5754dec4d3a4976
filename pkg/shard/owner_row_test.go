package shard

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
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
