package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// failureHalfLife is the half-life of counted failures.
	failureHalfLife = 4 * time.Second
	// failurePenalty is the placement penalty of one recent failure, as a share of free processors.
	failurePenalty = 0.35
	// negligibleFailures is the count below which failures are ignored.
	negligibleFailures = 0.05
)

// workerHealth counts a worker's recent failures with exponential decay.
type workerHealth struct {
	failures  float64 // failed attempts, decayed
	decayedAt time.Duration
}

// noteEnd counts the end of an attempt.
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

// noteUnanswered counts a start that got no answer or was refused as unhealthy.
func (h *workerHealth) noteUnanswered(now time.Duration) {
	h.decay(now)
	h.failures++
}

// noteStalled counts a task that stalls or is slow at the worker.
func (h *workerHealth) noteStalled(now time.Duration) {
	h.decay(now)
	h.failures += stallWeight
}

// penalty returns the placement penalty of the worker, as a share of free processors.
func (h *workerHealth) penalty(now time.Duration) float64 {
	h.decay(now)
	return h.failures * failurePenalty
}
