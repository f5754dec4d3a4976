package shard_test

import (
	"testing"

	"github.com/gannetwell/gannetwell/internal/prop"
)

// TestInnocentBesideSilence guards against failing a job because of workers that were only silent:
// their loss does not show that its task crashes workers.
func TestInnocentBesideSilence(t *testing.T) { prop.CheckSeed(t, 2142713, crashes(nil)) }

// TestTrialSurvivesTakeover guards against an owner that adopts an attempt in a trial and starts a
// crashing task beside it, whose loss was then counted against the task in the trial.
func TestTrialSurvivesTakeover(t *testing.T) { prop.CheckSeed(t, 14215917, restarts(nil)) }

// TestMaxWorkersCrashed guards against losses that are forgotten because their owner releases the shard,
// or is lost, before they are stored: a task crashed more workers than allowed.
func TestMaxWorkersCrashed(t *testing.T) { prop.CheckSeed(t, 190819, crashes(nil)) }
