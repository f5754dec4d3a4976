package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/platform/standin"
)

// Times of callers.
const (
	callTimeout   = 4 * time.Second
	retryDelay    = time.Second
	submitTries   = 5
	statePause    = 400 * time.Millisecond
	betweenJobs   = 700 * time.Millisecond // at most
	cancelShare   = 0.08                   // of the jobs
	cancelWithin  = 5 * time.Second        // from the start of following a job to be cancelled
	resubmitShare = 0.1                    // of the accepted jobs, at once, and of the looks at a job's state
)

// firstCallerStream is the stream of a soak's seed from which its first caller draws.
const firstCallerStream = 2

// caller submits jobs one after the other, each at the entry that answered last, and follows them to their end.
type caller struct {
	*standin.Caller
	name    int
	rnd     *rand.Rand
	entries []*entry
	current int
	check   *checker

	jobs     int // submitted so far
	followed sync.WaitGroup
}

// newCaller returns the caller of a number, which begins at the entry of an index.
func (s *soak) newCaller(number, firstEntry int) *caller {
	return &caller{
		Caller: standin.NewCaller(queue), name: number, rnd: rand.New(rand.NewPCG(s.o.Seed, firstCallerStream+uint64(number))),
		entries: s.entries, current: firstEntry, check: s.check,
	}
}

// newFollower returns a caller that follows one job beside c, from the entry that c would call next.
func (c *caller) newFollower() *caller {
	return &caller{
		Caller: standin.NewCaller(queue), rnd: rand.New(rand.NewPCG(c.rnd.Uint64(), 0)),
		entries: c.entries, current: c.current, check: c.check,
	}
}

// run submits jobs until submitting ends, and follows them until ctx ends.
func (c *caller) run(ctx, submitting context.Context) {
	defer c.Close()
	defer c.followed.Wait()
	for submitting.Err() == nil {
		steps := drawSteps(c.rnd)
		c.submitAndFollow(ctx, submitting, steps, c.rnd.Float64() < cancelShare)
		_ = pause.For(submitting, time.Duration(c.rnd.Int64N(int64(betweenJobs)))) // the loop checks submitting
	}
}

// runBursts submits as many jobs of many short tasks as each message says, until submitting ends.
func (c *caller) runBursts(ctx, submitting context.Context, bursts <-chan int) {
	defer c.Close()
	defer c.followed.Wait()
	for {
		select {
		case n := <-bursts:
			for range n {
				c.submitAndFollow(ctx, submitting, manyTasks(c.rnd), false)
			}
		case <-submitting.Done():
			return
		}
	}
}

// submitAndFollow submits the next job, and follows it until ctx ends.
func (c *caller) submitAndFollow(ctx, submitting context.Context, steps []step, cancels bool) {
	c.jobs++
	id := fmt.Sprintf("%08x%08x", c.name, c.jobs)
	c.check.submitted(id, steps)
	if !c.submit(submitting, id, steps) {
		return
	}
	f := c.newFollower()
	c.followed.Go(func() {
		defer f.Close()
		f.follow(ctx, submitting, id, steps, longRunning(steps) || cancels)
	})
}

// submit submits a job until it is accepted, refused or given up; it reports whether it may have been taken.
func (c *caller) submit(ctx context.Context, id string, steps []step) (taken bool) {
	mayBeTaken := false
	for range submitTries {
		switch c.trySubmit(id, steps) {
		case standin.OutcomeDone:
			c.check.accepted(id)
			if c.rnd.Float64() < resubmitShare {
				c.trySubmit(id, steps)
			}
			return true
		case standin.OutcomeUnknown:
			mayBeTaken = true
		}
		_ = pause.For(ctx, retryDelay) // the tries are counted
	}
	if !mayBeTaken {
		c.check.refused(id)
	}
	return mayBeTaken
}

// trySubmit submits a job once.
func (c *caller) trySubmit(id string, steps []step) standin.Outcome {
	return c.call(func(ctx context.Context, address string) standin.Outcome {
		return c.Submit(ctx, address, id, job(steps))
	})
}

// call makes a call at the entry that answered last, and goes to another one if that fails.
func (c *caller) call(do func(ctx context.Context, address string) standin.Outcome) standin.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	out := do(ctx, c.entries[c.current].callers())
	if out == standin.OutcomeUnknown || out == standin.OutcomeRejected {
		c.chooseEntry()
	}
	return out
}

// chooseEntry goes to an entry that calls itself ready, or to any if none does.
func (c *caller) chooseEntry() {
	for range c.entries {
		c.current = c.rnd.IntN(len(c.entries))
		ctx, cancel := context.WithTimeout(context.Background(), retryDelay)
		ready := c.Ready(ctx, c.entries[c.current].readiness())
		cancel()
		if ready {
			return
		}
	}
}

// follow asks for a job's state until it is final, and submits it again now and then. It asks to cancel
// a job to be cancelled within cancelWithin, at the latest when submitting ends, until that is answered.
func (c *caller) follow(ctx, submitting context.Context, id string, steps []step, cancels bool) {
	cancelAt := time.Now().Add(time.Duration(c.rnd.Int64N(int64(cancelWithin))))
	for ctx.Err() == nil {
		if cancels && (submitting.Err() != nil || time.Now().After(cancelAt)) {
			cancels = !c.tryCancel(id)
		}
		if state := c.askState(id); isFinal(state) {
			return
		}
		if submitting.Err() == nil && !cancels && c.rnd.Float64() < resubmitShare {
			c.trySubmit(id, steps)
		}
		_ = pause.For(ctx, statePause) // the loop checks ctx
	}
}

// tryCancel asks once to cancel a job; it reports whether that is confirmed, or the job not there.
func (c *caller) tryCancel(id string) (over bool) {
	c.check.cancelling(id)
	out := c.call(func(ctx context.Context, address string) standin.Outcome { return c.Cancel(ctx, address, id) })
	if out != standin.OutcomeDone && out != standin.OutcomeNotFound {
		return false
	}
	c.check.cancelled(id)
	return true
}

// askState asks once for a job's state, and tells the checker the answer.
func (c *caller) askState(id string) (state string) {
	out := c.call(func(ctx context.Context, address string) (out standin.Outcome) {
		state, out = c.State(ctx, address, id)
		return out
	})
	switch out {
	case standin.OutcomeDone:
		c.check.told(id, state)
	case standin.OutcomeNotFound:
		c.check.notFound(id)
	}
	return state
}
