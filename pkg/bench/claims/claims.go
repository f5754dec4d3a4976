// Package claims compares two methods of claiming idempotency keys in the table service
// under its write rate limit: several claims in one transaction, and one transaction for
// each claim. gannetbench claims calls Run.
package claims

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/gateway/once"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
)

// Result holds the measurements of one method at one offered rate.
type Result struct {
	Method      string  `json:"way"`
	Offered     int     `json:"offered_per_s"`
	Claimed     float64 `json:"claimed_per_s"`
	Refused     float64 `json:"refused_per_s"`
	WritesPerS  float64 `json:"table_writes_per_s"`
	AddedP50Ms  float64 `json:"added_p50_ms"`
	AddedP99Ms  float64 `json:"added_p99_ms"`
	EntriesUsed int     `json:"entries"`
}

const (
	entries      = 6
	storeLatency = 5 * time.Millisecond
)

// claimer claims one key; an error means that the claim was refused.
type claimer func(ctx context.Context, key string) error

// Run offers each rate, in claims per second, to both methods for the duration d.
func Run(rates []int, d time.Duration) (results []Result) {
	for _, rate := range rates {
		results = append(results, measure("grouped", rate, d, newGroupedClaimer), measure("one by one", rate, d, newSingleClaimer))
	}
	return results
}

// newGroupedClaimer returns a claimer that batches concurrent claims into transactions.
func newGroupedClaimer(ctx context.Context, store platform.Table, wg *sync.WaitGroup, i int) claimer {
	claims := once.New(store, fmt.Sprintf("entry-%d", i))
	wg.Go(func() { _ = claims.Run(ctx) })
	return func(ctx context.Context, key string) error {
		claim, _, err := claims.Claim(ctx, once.NewKey("r", "c", key), "d")
		if err == nil {
			claims.Finish(claim, nil)
		}
		return err
	}
}

// newSingleClaimer returns a claimer with a transaction for each claim.
func newSingleClaimer(_ context.Context, store platform.Table, _ *sync.WaitGroup, _ int) claimer {
	return func(ctx context.Context, key string) error {
		return store.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: key}}, Writes: []platform.Write{{Key: key, Value: []byte("d")}},
		})
	}
}

func measure(method string, rate int, d time.Duration, make func(context.Context, platform.Table, *sync.WaitGroup, int) claimer) Result {
	store := fake.New(fake.WithLatency(storeLatency))
	ctx, cancel := context.WithCancel(context.Background())
	var background, calls sync.WaitGroup
	var claimers []claimer
	for i := range entries {
		claimers = append(claimers, make(ctx, store.View("z"), &background, i))
	}
	var mu sync.Mutex
	var latenciesMs []float64
	refused := 0
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		<-tick.C
		calls.Go(func() {
			sentAt := time.Now()
			err := claimers[n%entries](ctx, fmt.Sprint("key-", n))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refused++
				return
			}
			latenciesMs = append(latenciesMs, float64(time.Since(sentAt).Microseconds())/1000)
		})
	}
	calls.Wait()
	elapsed := time.Since(start).Seconds()
	cancel()
	background.Wait()
	slices.Sort(latenciesMs)
	r := Result{Method: method, Offered: rate, EntriesUsed: entries, Claimed: float64(len(latenciesMs)) / elapsed, Refused: float64(refused) / elapsed, WritesPerS: float64(store.Calls(rest.OpCommit)) / elapsed}
	if len(latenciesMs) > 0 {
		r.AddedP50Ms, r.AddedP99Ms = latenciesMs[len(latenciesMs)/2], latenciesMs[len(latenciesMs)*99/100]
	}
	return r
}
