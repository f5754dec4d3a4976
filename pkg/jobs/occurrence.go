package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// expandAhead is how long before its due time an occurrence is expanded. It covers the clock
	// skew to a former owner, which may have started the occurrence already.
	expandAhead = 5 * time.Second
	// maxExpandedTasks limits the memory of a job whose occurrences become due faster than they
	// finish. Occurrences beyond it wait.
	maxExpandedTasks = maxTasks / 2
)

// maxExpanded returns how many occurrences Advance expands at a time. It allows for as many more
// that a former owner has started.
func (r *Record) maxExpanded() int {
	byTasks := maxExpandedTasks / max(1, r.Spec.tasks())
	byBytes := maxPersistedBytes(platform.DefaultMaxRowBytes) / 2 / max(1, r.occurrenceBytes())
	return max(1, min(byTasks, byBytes))
}

// occurrence is one scheduled run of a job, expanded into steps and tasks.
type occurrence struct {
	number     int
	steps      []*StepRun
	unfinished int // number of unfinished steps
}

// newJob returns a job. Its only occurrence is expanded unless it runs on a schedule.
func newJob(id string, r Record, now time.Duration) *Job {
	j := &Job{ID: id, Record: r, State: StateQueued, ReportedState: StateQueued, AddedAt: now, progressRows: 1}
	if r.Spec.Times == 0 {
		j.expand(0)
		j.nextOccurrence = 1
	}
	return j
}

// Advance expands the occurrences that are due at wall, the time since the Unix epoch, or soon
// after. It returns the steps of the finished occurrences that it drops; their tasks are no longer
// found by name.
func (j *Job) Advance(wall time.Duration) (retired []*StepRun) {
	if j.Spec.Times == 0 || j.State.Final() {
		return nil
	}
	j.expanded = slices.DeleteFunc(j.expanded, func(o *occurrence) bool {
		if !o.retirable() {
			return false
		}
		retired = append(retired, o.steps...)
		return true
	})
	changed := len(retired) > 0
	defer func() {
		if changed {
			j.collectSteps()
		}
	}()
	limit := j.maxExpanded()
	for j.nextOccurrence < j.Spec.Occurrences() && j.Spec.due(j.nextOccurrence) <= wall+expandAhead {
		if end := j.finished.nextAbsent(j.nextOccurrence); end > j.nextOccurrence {
			j.nextOccurrence = end
			continue
		}
		if len(j.expanded) >= limit {
			return retired
		}
		j.insertOccurrence(j.nextOccurrence)
		j.nextOccurrence++
		changed = true
	}
	return retired
}

// retirable reports whether all steps are finished and no attempt is or may be at a worker.
func (o *occurrence) retirable() bool {
	if o.unfinished > 0 {
		return false
	}
	for _, s := range o.steps {
		if slices.ContainsFunc(s.Tasks, func(t *Task) bool { return len(t.Attempts) > 0 || t.PossibleWorkers > 0 }) {
			return false
		}
	}
	return true
}

// expand creates the steps and tasks of an occurrence, unless they exist, and updates Steps.
func (j *Job) expand(number int) *occurrence {
	o := j.insertOccurrence(number)
	j.collectSteps()
	return o
}

// insertOccurrence is expand without updating Steps; the caller calls collectSteps.
func (j *Job) insertOccurrence(number int) *occurrence {
	at, found := j.findOccurrence(number)
	if found {
		return j.expanded[at]
	}
	o := &occurrence{number: number, unfinished: len(j.Spec.Steps)}
	for i := range j.Spec.Steps {
		spec := &j.Spec.Steps[i]
		s := &StepRun{Job: j, Spec: spec, Occurrence: number, Index: i, occurrence: o, pendingDeps: len(spec.After)}
		tasks := make([]Task, spec.Count)
		s.Tasks = make([]*Task, spec.Count)
		for k := range tasks {
			tasks[k].Step, tasks[k].Index = s, k
			s.Tasks[k] = &tasks[k]
		}
		for _, a := range spec.After {
			o.steps[a].dependents = append(o.steps[a].dependents, s)
		}
		o.steps = append(o.steps, s)
	}
	j.expanded = slices.Insert(j.expanded, at, o)
	return o
}

// collectSteps rebuilds Steps from the expanded occurrences.
func (j *Job) collectSteps() {
	j.Steps = nil
	for _, o := range j.expanded {
		j.Steps = append(j.Steps, o.steps...)
	}
}

// findOccurrence returns the index of an expanded occurrence, or where to insert it.
func (j *Job) findOccurrence(number int) (at int, found bool) {
	return slices.BinarySearchFunc(j.expanded, number, func(o *occurrence, n int) int { return cmp.Compare(o.number, n) })
}

// finishStep records that one more step of an occurrence is finished.
func (j *Job) finishStep(o *occurrence) {
	if o.unfinished--; o.unfinished > 0 {
		return
	}
	j.finished = j.finished.add(o.number)
	if j.finished.count() == j.Spec.Occurrences() && !j.State.Final() {
		j.State = StateCompleted
	}
}

// task returns the task with the given ID, or nil. For a restored job it expands the occurrence if
// needed, since a former owner whose clock was ahead may have started it.
func (j *Job) task(id TaskID) *Task {
	if id.Occurrence < 0 || id.Occurrence >= j.Spec.Occurrences() || id.Step < 0 || id.Step >= len(j.Spec.Steps) {
		return nil
	}
	if id.Index < 0 || id.Index >= j.Spec.Steps[id.Step].Count {
		return nil
	}
	if at, found := j.findOccurrence(id.Occurrence); found {
		return j.expanded[at].steps[id.Step].Tasks[id.Index]
	}
	if !j.Restored || j.finished.has(id.Occurrence) || len(j.expanded) >= 2*j.maxExpanded() {
		return nil
	}
	return j.expand(id.Occurrence).steps[id.Step].Tasks[id.Index]
}
