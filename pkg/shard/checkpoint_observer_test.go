package shard_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// checkpointObserver follows the checkpoints that workers save and that starts bring.
type checkpointObserver struct {
	starts map[string][]string         // checkpoints that the starts of a task brought, in order
	acked  map[string]savedWork        // of the latest attempt with an acknowledged end, by task
	gangs  map[string]map[int64]string // checkpoint of a gang's run, by step and attempt number
}

// savedWork is the work that an attempt had saved when it ended.
type savedWork struct {
	attempt int64
	work    time.Duration
}

func newCheckpointObserver() *checkpointObserver {
	return &checkpointObserver{starts: map[string][]string{}, acked: map[string]savedWork{}, gangs: map[string]map[int64]string{}}
}

// acknowledged records the checkpoint of an end that no worker will report again.
func (c *checkpointObserver) acknowledged(end platform.AttemptEnd) {
	_, work := fake.ParseCheckpoint(end.Checkpoint)
	if end.Checkpoint != "" && end.Attempt >= c.acked[end.Task].attempt {
		c.acked[end.Task] = savedWork{attempt: end.Attempt, work: work}
	}
}

// checkCheckpoint checks that a start brings a checkpoint of its own task, that it loses no work whose
// checkpoint came with an acknowledged end, and that all members of a gang's run bring the same one.
func (w *observer) checkCheckpoint(task string, attempt int64, checkpoint string) {
	c := w.checkpoints
	c.starts[task] = append(c.starts[task], checkpoint)
	step := task[:strings.LastIndexByte(task, '.')]
	job, _, _ := strings.Cut(task, ".")
	gang := strings.Contains(w.steps[job], "gang")
	saver, work := fake.ParseCheckpoint(checkpoint)
	if checkpoint != "" && saver != task && !(gang && strings.HasPrefix(saver, step+".")) {
		w.violated("%s attempt %d started from a checkpoint of %s", task, attempt, saver)
	}
	if saved := c.acked[task]; work < saved.work && saved.attempt < attempt && !w.copies[job] && !gang {
		w.violated("%s attempt %d started from %s after an end at %s was acknowledged", task, attempt, work, saved.work)
	}
	if !gang {
		return
	}
	if c.gangs[step] == nil {
		c.gangs[step] = map[int64]string{}
	}
	if other, ok := c.gangs[step][attempt]; ok && other != checkpoint {
		w.violated("%s attempt %d started from %q, another member of its gang from %q", task, attempt, checkpoint, other)
	}
	c.gangs[step][attempt] = checkpoint
}

// resumed returns how much work the checkpoints had saved that the starts of a task brought, in order.
func (w *observer) resumed(task string) string {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	var works []string
	for _, checkpoint := range w.checkpoints.starts[task] {
		_, work := fake.ParseCheckpoint(checkpoint)
		works = append(works, work.String())
	}
	return fmt.Sprintf("%s\n", strings.Join(works, " "))
}
