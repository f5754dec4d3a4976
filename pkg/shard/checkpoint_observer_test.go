package shard_test

import (
	"fmt"
	"strings"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// checkpointObserver follows the checkpoints that workers save and that starts bring.
type checkpointObserver struct {
	starts map[string][]string         // checkpoints that the starts of a task brought, in order
	acked  map[string]fake.Checkpoint  // of the latest attempt with an acknowledged end, by task
	gangs  map[string]map[int64]string // checkpoint of a gang's run, by step and attempt number
}

func newCheckpointObserver() *checkpointObserver {
	return &checkpointObserver{starts: map[string][]string{}, acked: map[string]fake.Checkpoint{}, gangs: map[string]map[int64]string{}}
}

// acknowledged records the checkpoint of an end that no worker will report again.
func (c *checkpointObserver) acknowledged(end platform.AttemptEnd) {
	if end.Checkpoint != "" && end.Attempt >= c.acked[end.Task].Attempt {
		c.acked[end.Task] = fake.ParseCheckpoint(end.Checkpoint)
	}
}

// checkCheckpoint checks that a start brings a checkpoint of its own task, that it is no earlier than any
// that came with an acknowledged end, and that all members of a gang's run bring the same one.
func (w *observer) checkCheckpoint(task string, attempt int64, checkpoint string) {
	c := w.checkpoints
	c.starts[task] = append(c.starts[task], checkpoint)
	step := task[:strings.LastIndexByte(task, '.')]
	job, _, _ := strings.Cut(task, ".")
	gang := strings.Contains(w.steps[job], "gang")
	saved := fake.ParseCheckpoint(checkpoint)
	if checkpoint != "" && saved.Task != task && !(gang && strings.HasPrefix(saved.Task, step+".")) {
		w.violated("%s attempt %d started from a checkpoint of %s", task, attempt, saved.Task)
	}
	if acked := c.acked[task]; acked.Attempt < attempt && !w.copies[job] && !gang && isEarlier(saved, acked) {
		w.violated("%s attempt %d started from %s after an end with %s was acknowledged", task, attempt, saved, acked)
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

// isEarlier reports whether one checkpoint of a task was saved before another.
func isEarlier(a, b fake.Checkpoint) bool {
	if a.Attempt == b.Attempt {
		return a.Work < b.Work
	}
	return a.Attempt < b.Attempt
}

// resumed returns how much work the checkpoints had saved that the starts of a task brought, in order.
func (w *observer) resumed(task string) string {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	var works []string
	for _, checkpoint := range w.checkpoints.starts[task] {
		works = append(works, fake.ParseCheckpoint(checkpoint).Work.String())
	}
	return fmt.Sprintf("%s\n", strings.Join(works, " "))
}
