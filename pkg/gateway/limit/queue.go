package limit

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// classOrder is who goes first.
var classOrder = [...]schema.Class{schema.ClassLive, schema.ClassInteractive, schema.ClassClerk, schema.ClassBatch}

// classRank is the place of a class in classOrder.
var classRank = func() map[schema.Class]int {
	ranks := make(map[schema.Class]int, len(classOrder))
	for rank, class := range classOrder {
		ranks[class] = rank
	}
	return ranks
}()

// maxWait is how long a class waits for a free server before it is shed.
var maxWait = map[schema.Class]time.Duration{
	schema.ClassLive: 500 * time.Millisecond, schema.ClassInteractive: 250 * time.Millisecond,
	schema.ClassClerk: 500 * time.Millisecond, schema.ClassBatch: 2 * time.Second,
}

const (
	// maxWaiters bounds the waiters of one class, and so the memory that a burst takes.
	maxWaiters = 256
	// lowestClassTurn gives every so manieth free place to the last class that waits, so that it is never starved.
	lowestClassTurn = 16
)

// ErrShed reports a request that found no free server in its time.
var ErrShed = errors.New("no backend server had room in time")

// Queue holds requests of one service while all its servers are full. The
// highest class goes first, and within a class who came first, until the first
// has used up half of its time: then the class itself is overloaded, and the
// newest goes first, so that some are in time rather than all late.
type Queue struct {
	waiting atomic.Int64

	mu      sync.Mutex
	byClass [len(classOrder)][]*waiter // the newest last
	turn    int
}

type waiter struct {
	wake       chan struct{}
	enqueuedAt time.Time
}

// HigherWaiting tells whether somebody of a higher class waits.
func (q *Queue) HigherWaiting(class schema.Class) bool {
	if q.waiting.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for rank := range classRank[class] {
		if len(q.byClass[rank]) > 0 {
			return true
		}
	}
	return false
}

// Acquire calls try until it succeeds: at once, unless a higher class waits, then
// each time that a place becomes free. It returns ErrShed when the time of the
// class or half of the request's own is up, or when newer ones push it out.
func (q *Queue) Acquire(ctx context.Context, class schema.Class, try func() bool) error {
	if !q.HigherWaiting(class) && try() {
		return nil
	}
	wait := maxWait[class]
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	began := time.Now()
	for {
		w := q.join(class, began)
		if try() { // a place may have become free before the waiter was seen
			q.leave(class, w)
			return nil
		}
		select {
		case <-ctx.Done():
			if !q.leave(class, w) {
				q.Notify() // it was woken too: the place goes to the next one
			}
			return ErrShed
		case _, woken := <-w.wake:
			if !woken {
				return ErrShed
			}
			if try() {
				return nil
			}
		}
	}
}

// join adds a waiter; the oldest of its class is pushed out when there are too many.
func (q *Queue) join(class schema.Class, since time.Time) *waiter {
	w := &waiter{wake: make(chan struct{}, 1), enqueuedAt: since}
	rank := classRank[class]
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.byClass[rank]) >= maxWaiters {
		close(q.byClass[rank][0].wake)
		q.byClass[rank] = q.byClass[rank][1:]
		q.waiting.Add(-1)
	}
	q.byClass[rank] = append(q.byClass[rank], w)
	q.waiting.Add(1)
	return w
}

// leave removes a waiter; it returns false when the waiter is no longer there.
func (q *Queue) leave(class schema.Class, w *waiter) bool {
	rank := classRank[class]
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.byClass[rank] {
		if other == w {
			q.byClass[rank] = append(q.byClass[rank][:i:i], q.byClass[rank][i+1:]...)
			q.waiting.Add(-1)
			return true
		}
	}
	return false
}

// Notify tells that a place has become free; it wakes the next waiter.
func (q *Queue) Notify() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.turn++
	if q.turn%lowestClassTurn == 0 {
		for rank := len(classOrder) - 1; rank >= 0; rank-- {
			if q.wakeOne(rank) {
				return
			}
		}
	}
	for rank := range classOrder {
		if q.wakeOne(rank) {
			return
		}
	}
}

// wakeOne wakes the next waiter of a class; the caller holds the lock.
func (q *Queue) wakeOne(rank int) bool {
	waiters := q.byClass[rank]
	n := len(waiters)
	if n == 0 {
		return false
	}
	next, rest := waiters[0], waiters[1:]
	if time.Since(next.enqueuedAt) > maxWait[classOrder[rank]]/2 {
		next, rest = waiters[n-1], waiters[:n-1]
	}
	next.wake <- struct{}{}
	q.byClass[rank] = rest
	q.waiting.Add(-1)
	return true
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return int(q.waiting.Load()) }
