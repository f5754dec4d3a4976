package shard

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/quota"
)

// TestGuaranteedRate takes tokens at several rates from a guaranteed rate of five per second.
func TestGuaranteedRate(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		perSecond, within int // of 100 jobs
	}{
		{2, 100},
		{5, 100},
		{10, 55},
		{25, 25},
		{1000, 5},
	} {
		p := guaranteedRate{tokens: 5}
		within := 0
		for i := range 100 {
			if p.take(5, time.Duration(i)*time.Second/time.Duration(test.perSecond)) {
				within++
			}
		}
		c.Check(within >= test.within-2 && within <= test.within+2, qt.IsTrue, qt.Commentf("%d per second: %d within the guaranteed rate", test.perSecond, within))
	}
}

// TestUnusualWeights checks which of two accounts' jobs exceed the guaranteed rate when weights are
// equal, huge, missing, or of no account.
func TestUnusualWeights(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		weights map[string]float64
		within  map[string]int // of 10 jobs at once
	}{
		{map[string]float64{"a": 3, "b": 3}, map[string]int{"a": 3, "b": 3}},
		{map[string]float64{"a": 0, "b": 3}, map[string]int{"a": 0, "b": 3}},
		{map[string]float64{"a": 0, "b": 0}, map[string]int{"a": 0, "b": 0}},
		{map[string]float64{"a": math.MaxFloat64, "b": 3}, map[string]int{"a": 10, "b": 3}},
		{map[string]float64{"other": 3}, map[string]int{"a": 10, "b": 10}},
		{nil, map[string]int{"a": 10, "b": 10}},
	} {
		var cat catalog.Catalog
		for name, weight := range test.weights {
			cat.Accounts = append(cat.Accounts, catalog.Account{Name: name, Weight: weight})
		}
		o := &Owner{cfg: Config{Clock: elapsed.New()}, catalog: catalog.New(cat), accounts: newAccounts(quota.Row{})}
		for account, want := range test.within {
			within := 0
			for range 10 {
				if !o.exceedsGuarantee(account) {
					within++
				}
			}
			c.Check(within, qt.Equals, want, qt.Commentf("account %s of %v", account, test.weights))
		}
	}
}
