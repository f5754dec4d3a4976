package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// layOutAhead is how long before its time an occurrence is laid out: the clock of a former
	// owner, which may have started it, may have been ahead of ours.
	layOutAhead = 5 * time.Second
	// openTasks bounds the tasks of a job that are laid out at once, so that one whose occurrences
	// are due faster than they are done takes no more memory than others. Those beyond it wait.
	openTasks = maxTasks / 2
)

// mostOpen is how many occurrences are laid out by their times: no more than can be kept if twice as
// many are, with those that a former owner has started.
func (r *Record) mostOpen() int {
	byTasks := openTasks / max(1, r.Spec.tasks())
	byBytes := keepable(platform.UsualRowBytes) / 2 / max(1, r.occurrenceBytes())
	return max(1, min(byTasks, byBytes))
}

// occurrence is one of the times that a job's steps run, laid out.
type occurrence struct {
	number     int
	steps      []*StepRun
	unfinished int // steps
}

// newJob returns a job, laid out unless it runs at set times.
func newJob(id string, r Record, now time.Duration) *Job {
	j := &Job{ID: id, Record: r, State: StateQueued, PersistedState: StateQueued, AddedAt: now, parts: 1}
	if r.Spec.Times == 0 {
		j.layOut(0)
		j.next = 1
	}
	return j
}

// Advance lays out the occurrences that are due by a time since 1970, or will be in a moment, and
// forgets those that are over, whose steps it returns: no task of theirs is found by its name any more.
func (j *Job) Advance(wall time.Duration) (over []*StepRun) {
	if j.Spec.Times == 0 || j.State.Final() {
		return nil
	}
	j.open = slices.DeleteFunc(j.open, func(o *occurrence) bool {
		if !o.over() {
			return false
		}
		over = append(over, o.steps...)
		return true
	})
	changed := len(over) > 0
	defer func() {
		if changed {
			j.gather()
		}
	}()
	most := j.mostOpen()
	for j.next < j.Spec.Occurrences() && j.Spec.due(j.next) <= wall+layOutAhead {
		if end := j.finished.endOf(j.next); end > j.next {
			j.next = end
			continue
		}
		if len(j.open) >= most {
			return over
		}
		j.add(j.next)
		j.next++
		changed = true
	}
	return over
}

// over tells whether all of the occurrence is done, and nothing of it is or may be at a worker any more.
func (o *occurrence) over() bool {
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

// layOut makes the steps and tasks of an occurrence, unless they are there.
func (j *Job) layOut(number int) *occurrence {
	o := j.add(number)
	j.gather()
	return o
}

// add does what layOut does, and leaves it to the caller to gather the steps.
func (j *Job) add(number int) *occurrence {
	at, there := j.find(number)
	if there {
		return j.open[at]
	}
	o := &occurrence{number: number, unfinished: len(j.Spec.Steps)}
	for i := range j.Spec.Steps {
		spec := &j.Spec.Steps[i]
		s := &StepRun{Job: j, Spec: spec, Occurrence: number, Index: i, of: o, blockers: len(spec.After)}
		tasks := make([]Task, spec.Count)
		s.Tasks = make([]*Task, spec.Count)
		for k := range tasks {
			tasks[k].Step, tasks[k].Index = s, k
			s.Tasks[k] = &tasks[k]
		}
		for _, a := range spec.After {
			o.steps[a].waiters = append(o.steps[a].waiters, s)
		}
		o.steps = append(o.steps, s)
	}
	j.open = slices.Insert(j.open, at, o)
	return o
}

// gather lists the steps of all occurrences that are laid out.
func (j *Job) gather() {
	j.Steps = nil
	for _, o := range j.open {
		j.Steps = append(j.Steps, o.steps...)
	}
}

// find returns where an occurrence is among those laid out, or would be.
func (j *Job) find(number int) (at int, there bool) {
	return slices.BinarySearchFunc(j.open, number, func(o *occurrence, n int) int { return cmp.Compare(o.number, n) })
}

// finishStep notes that all tasks of one more step of an occurrence are done.
func (j *Job) finishStep(o *occurrence) {
	if o.unfinished--; o.unfinished > 0 {
		return
	}
	j.finished = j.finished.add(o.number)
	if j.finished.count() == j.Spec.Occurrences() && !j.State.Final() {
		j.State = StateCompleted
	}
}

// task finds a task by its name's numbers, nil if there is none. A former owner whose clock was far
// ahead may have started an occurrence that is not laid out yet.
func (j *Job) task(id TaskID) *Task {
	if id.Occurrence < 0 || id.Occurrence >= j.Spec.Occurrences() || id.Step < 0 || id.Step >= len(j.Spec.Steps) {
		return nil
	}
	if id.Index < 0 || id.Index >= j.Spec.Steps[id.Step].Count {
		return nil
	}
	if at, there := j.find(id.Occurrence); there {
		return j.open[at].steps[id.Step].Tasks[id.Index]
	}
	if !j.Restored || j.finished.has(id.Occurrence) || len(j.open) >= 2*j.mostOpen() {
		return nil
	}
	return j.layOut(id.Occurrence).steps[id.Step].Tasks[id.Index]
}
