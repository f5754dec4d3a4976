package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// failureHalfLife is how fast failures are forgiven.
	failureHalfLife = 4 * time.Second
	// failurePenalty is what one recent failure weighs against a worker, as a share of free processors.
	failurePenalty = 0.35
	// negligibleFailures is the count of failures below which they no longer matter.
	negligibleFailures = 0.05
)

// workerHealth is what is remembered of a worker's ends to tell a bad worker.
type workerHealth struct {
	failures  float64 // recent failed attempts, fading
	decayedAt time.Duration
}

// noteEnd takes one end into account.
func (h *workerHealth) noteEnd(reason platform.EndReason, now time.Duration) {
	h.decay(now)
	switch reason {
	case platform.EndFailed:
		h.failures++
	case platform.EndDone:
		h.failures /= 2
	}
}

func (h *workerHealth) decay(now time.Duration) {
	for h.failures > negligibleFailures && now-h.decayedAt >= failureHalfLife {
		h.failures /= 2
		h.decayedAt += failureHalfLife
	}
	if now-h.decayedAt >= failureHalfLife || h.failures <= negligibleFailures {
		h.decayedAt = now
	}
}

// noteUnanswered notes a start that got no answer, or that the worker was not well enough to carry out.
func (h *workerHealth) noteUnanswered(now time.Duration) {
	h.decay(now)
	h.failures++
}

// noteStalled notes a task that stands still or crawls at the worker.
func (h *workerHealth) noteStalled(now time.Duration) {
	h.decay(now)
	h.failures += stallWeight
}

// penalty is what speaks against the worker.
func (h *workerHealth) penalty(now time.Duration) float64 {
	h.decay(now)
	return h.failures * failurePenalty
}
