package limit_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/gateway/limit"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// slots is a queue in front of a number of free slots.
type slots struct {
	limit.Queue
	mu   sync.Mutex
	free int
}

func (p *slots) try() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free == 0 {
		return false
	}
	p.free--
	return true
}

func (p *slots) release() {
	p.mu.Lock()
	p.free++
	p.mu.Unlock()
	p.Notify()
}

// TestQueueOrder frees slots one by one: higher classes go first, and each class is FIFO until
// its oldest waiter has waited for half its time, then LIFO.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p slots
		var order []string
		var wg sync.WaitGroup
		join := func(class schema.Class, n int) {
			wg.Go(func() {
				if p.Acquire(context.Background(), class, p.try) == nil {
					order = append(order, fmt.Sprintf("%s-%d", class, n))
				}
			})
			synctest.Wait()
		}
		for n := range 2 {
			for _, class := range []schema.Class{schema.ClassBatch, schema.ClassClerk, schema.ClassInteractive, schema.ClassLive} {
				join(class, n)
			}
		}
		qt.Check(t, p.Waiting(), qt.Equals, 8)
		for range 8 {
			p.release()
			synctest.Wait()
		}
		wg.Wait()
		qt.Check(t, order, qt.DeepEquals, []string{"live-0", "live-1", "interactive-0", "interactive-1", "clerk-0", "clerk-1", "batch-0", "batch-1"})
		order = nil
		for n := range 3 {
			join(schema.ClassInteractive, n)
			time.Sleep(70 * time.Millisecond)
		}
		for range 3 {
			p.release()
			synctest.Wait()
		}
		wg.Wait()
		qt.Check(t, order, qt.DeepEquals, []string{"interactive-2", "interactive-1", "interactive-0"})
		qt.Check(t, p.Waiting(), qt.Equals, 0)
	})
}

// TestQueueNeverStarves checks that batch requests are admitted under a constant load of live
// ones.
func TestQueueNeverStarves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p slots
		got := map[schema.Class]int{}
		var wg sync.WaitGroup
		for range 64 {
			for _, class := range []schema.Class{schema.ClassLive, schema.ClassBatch} {
				wg.Go(func() {
					if p.Acquire(context.Background(), class, p.try) == nil {
						got[class]++
					}
				})
			}
			synctest.Wait()
			p.release()
			synctest.Wait()
		}
		wg.Wait()
		qt.Check(t, got[schema.ClassLive]+got[schema.ClassBatch], qt.Equals, 64)
		qt.Check(t, got[schema.ClassBatch] >= 4, qt.IsTrue, qt.Commentf("%v", got))
	})
}

// TestQueueTimeoutAndOverflow checks that requests are shed after their maximum wait, and the
// oldest when the queue is full.
func TestQueueTimeoutAndOverflow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var p slots
		began := time.Now()
		c.Check(p.Acquire(context.Background(), schema.ClassInteractive, p.try), qt.Equals, limit.ErrShed)
		c.Check(time.Since(began), qt.Equals, 250*time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		began = time.Now()
		c.Check(p.Acquire(ctx, schema.ClassBatch, p.try), qt.Equals, limit.ErrShed)
		c.Check(time.Since(began), qt.Equals, 50*time.Millisecond, qt.Commentf("half of the time to the request's deadline"))
		var wg sync.WaitGroup
		began = time.Now()
		shedAtOnce := 0
		for range 300 {
			wg.Go(func() {
				if p.Acquire(context.Background(), schema.ClassBatch, p.try) != nil && time.Since(began) == 0 {
					shedAtOnce++
				}
			})
			synctest.Wait()
		}
		wg.Wait()
		c.Check(shedAtOnce, qt.Equals, 44, qt.Commentf("256 may wait"))
		c.Check(p.Waiting(), qt.Equals, 0)
	})
}

// TestAdaptive checks that the limit falls with rising latency and rises again only while it is
// used.
func TestAdaptive(t *testing.T) {
	c := qt.New(t)
	a := limit.NewAdaptive(100)
	now := time.Unix(0, 0)
	respond := func(n int, ratio float64) int64 {
		for range n {
			now = now.Add(10 * time.Millisecond)
			a.ObserveResponse(ratio, a.Limit(), now)
		}
		return a.Limit()
	}
	first := a.Limit()
	grown := respond(400, 1)
	c.Check(grown > first, qt.IsTrue)
	c.Check(respond(400, 4), qt.Equals, int64(2), qt.Commentf("the minimum limit"))
	c.Check(respond(2000, 1) > 10, qt.IsTrue)
	c.Check(respond(100_000, 1), qt.Equals, int64(100), qt.Commentf("never above the maximum limit"))
	now = now.Add(time.Second)
	a.ObserveTimeout(now)
	c.Check(a.Limit(), qt.Equals, int64(70))
	idle := limit.NewAdaptive(100)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		idle.ObserveResponse(1, 0, now)
	}
	c.Check(idle.Limit(), qt.Equals, first, qt.Commentf("an unused limit does not rise"))
}

// TestBaseline checks that varying latency is not taken for congestion and that the baseline
// adapts.
func TestBaseline(t *testing.T) {
	c := qt.New(t)
	var b limit.Baseline
	now := time.Unix(0, 0)
	sum := 0.0
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		sum += b.Observe(time.Duration(10+20*(i%2))*time.Millisecond, now) // 10 and 30 ms, mean 20
	}
	c.Check(sum/1000 < 1.1, qt.IsTrue, qt.Commentf("mean ratio %f", sum/1000))
	c.Check(b.Observe(60*time.Millisecond, now), qt.Equals, 3.0)
	for range 100_000 {
		now = now.Add(time.Millisecond)
		b.Observe(60*time.Millisecond, now)
	}
	c.Check(b.Observe(60*time.Millisecond, now), qt.Equals, 1.0, qt.Commentf("a lasting latency becomes the baseline"))
}

// TestRates checks the rate of each key, and that many keys do not break it.
func TestRates(t *testing.T) {
	c := qt.New(t)
	var r limit.Rates
	now := time.Unix(0, 0)
	allowed := func(key string, n int) (ok int) {
		for range n {
			if r.Allow(key, 10, now) {
				ok++
			}
		}
		return ok
	}
	c.Check(allowed("a", 100), qt.Equals, 10)
	c.Check(allowed("b", 100), qt.Equals, 10, qt.Commentf("keys are independent"))
	now = now.Add(500 * time.Millisecond)
	c.Check(allowed("a", 100), qt.Equals, 5)
	c.Check(r.Allow("a", 0, now), qt.IsTrue, qt.Commentf("0 means no limit"))
	for i := range 100_000 {
		r.Allow(fmt.Sprint(i), 10, now)
	}
	now = now.Add(time.Second)
	c.Check(allowed("a", 100), qt.Equals, 10)
}
