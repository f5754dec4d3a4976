package limit

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// classOrder lists the classes by priority, highest first.
var classOrder = [...]schema.Class{schema.ClassLive, schema.ClassInteractive, schema.ClassClerk, schema.ClassBatch}

// classRank maps a class to its index in classOrder.
var classRank = func() map[schema.Class]int {
	ranks := make(map[schema.Class]int, len(classOrder))
	for rank, class := range classOrder {
		ranks[class] = rank
	}
	return ranks
}()

// maxWait is how long a request waits for a server before it is shed.
var maxWait = map[schema.Class]time.Duration{
	schema.ClassLive: 500 * time.Millisecond, schema.ClassInteractive: 250 * time.Millisecond,
	schema.ClassClerk: 500 * time.Millisecond, schema.ClassBatch: 2 * time.Second,
}

const (
	// maxWaiters bounds the waiters per class, and so the queue's memory.
	maxWaiters = 256
	// lowestClassInterval is the interval, in notifications, at which the lowest class is served
	// first, which prevents starvation.
	lowestClassInterval = 16
)

// ErrShed is returned for a request that got no server in time.
var ErrShed = errors.New("no backend server had room in time")

// Queue is the priority queue of a service whose servers are all full. Higher classes go first.
// Each class is FIFO until its oldest waiter has used half of its time; then it is LIFO, so
// that under overload some requests are served in time instead of all too late.
type Queue struct {
	waiting atomic.Int64

	mu            sync.Mutex
	byClass       [len(classOrder)][]*waiter // by rank, oldest first
	notifications int
}

type waiter struct {
	wake       chan struct{}
	enqueuedAt time.Time
}

// HigherWaiting reports whether a request of a higher class is waiting.
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

// Acquire calls try until it succeeds: at once unless a higher class is waiting, then after
// each notification. It returns ErrShed after the class's maximum wait, after half of the time
// to the deadline of ctx, or when newer waiters overflow the queue.
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
	start := time.Now()
	for {
		w := q.enqueue(class, start)
		if try() { // a slot may have become free before the waiter was added
			q.remove(class, w)
			return nil
		}
		select {
		case <-ctx.Done():
			if !q.remove(class, w) {
				q.Notify() // pass a notification received meanwhile to the next waiter
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

// enqueue adds a waiter, shedding the oldest of its class if the queue is full.
func (q *Queue) enqueue(class schema.Class, since time.Time) *waiter {
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

// remove removes a waiter; it returns false if the waiter is no longer queued.
func (q *Queue) remove(class schema.Class, w *waiter) bool {
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

// Notify wakes the next waiter after a slot became free.
func (q *Queue) Notify() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notifications++
	if q.notifications%lowestClassInterval == 0 {
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

// wakeOne wakes the next waiter of a class and reports whether there was one; the caller holds
// mu.
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

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return int(q.waiting.Load()) }
