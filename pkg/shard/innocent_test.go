package shard_test

import (
	"testing"

	"github.com/gannetwell/gannetwell/internal/prop"
)

// TestInnocentBesideSilence: a job that did nothing was given up. Two workers were brought down
// with its task there by another job's task; then every renewal of leases was lost for a while, so
// that workers fell silent which went on working, and one of them had the task on trial. Four
// losses of any kind were taken for proof, two of them of workers that were up and were heard again
// soon after. Evidence: loss_counted for boots of which no worker_ended follows, the fourth with the
// verdict guilty, task_given_up, and then worker_regained for the same boots.
func TestInnocentBesideSilence(t *testing.T) { prop.CheckSeed(t, 2142713, crashes(nil)) }

// TestInnocentOnTrialAtTakeover: a job that did nothing was given up. Its task was started on trial,
// alone at its worker; the owner went, and the next one adopted the attempt and did not know that
// the worker was kept for it. It started a crashing task beside it, and that loss was the fourth one
// counted against the task on trial, though none of the four was of a worker kept for it at the
// time. Evidence: trial_started by the one owner, attempt_found and start_ordered for that worker by
// the next, then loss_counted with trial false and the verdict guilty.
func TestInnocentOnTrialAtTakeover(t *testing.T) { prop.CheckSeed(t, 14215917, restarts(nil)) }

// TestMostWorkersDown: a task brought six workers down, one more than callers are promised. The first
// of them was counted while its owner was handing the shard over by plan. It had waited for the silent
// worker until it could wait no longer, and let go 7 ms after the loss was counted and before that was
// kept; its record named the worker no more. The next owner was gone before it had kept the second
// loss, so that two starts were unknown. Evidence: loss_counted at 1,083 ms and shard_released with quiet
// false at 1,090, then loss_counted with losses 1 by the third owner, after three workers.
func TestMostWorkersDown(t *testing.T) { prop.CheckSeed(t, 190819, crashes(nil)) }
