package jobs

import (
	"slices"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quarantine"
)

// Progress is the persisted execution state of a job.
type Progress struct {
	State State          `msgpack:"s,omitempty"` // empty while the job is not final
	Steps []StepProgress `msgpack:"p,omitempty"`
	// Finished contains the finished occurrences.
	Finished rangeSet `msgpack:"v,omitempty"`
	// Rows is the number of rows that the progress takes, 0 for one.
	Rows int `msgpack:"n,omitempty"`
	// Stopping is the resources of a final job's attempts that were still being stopped.
	Stopping *platform.Resources `msgpack:"o,omitempty"`
}

// StepProgress is the progress of one step, or of some of its tasks.
type StepProgress struct {
	StepNumber  int             `msgpack:"a"`           // occurrence number * steps per occurrence + step index
	Done        []byte          `msgpack:"d,omitempty"` // bitmap by task index
	Failed      map[int][]int64 `msgpack:"f,omitempty"` // numbers of failed attempts, by task index
	Checkpoints map[int]string  `msgpack:"c,omitempty"` // by task index
	// CheckpointOrigins are those of Checkpoints, by task index. Earlier versions do not write them.
	CheckpointOrigins map[int]CheckpointOrigin `msgpack:"k,omitempty"`
	GangFailed        []int64                  `msgpack:"g,omitempty"` // attempt numbers of failed gang runs

	Losses map[int]quarantine.Losses `msgpack:"l,omitempty"` // by task index
}

// Progress returns the state to persist for the job.
func (j *Job) Progress() Progress {
	p := Progress{}
	if j.State.Final() {
		p.State = j.State
		if out := j.usage(); out != (platform.Resources{}) {
			p.Stopping = &out
		}
		return p
	}
	if j.Spec.Times > 0 {
		p.Finished = slices.Clone(j.finished)
	}
	for _, s := range j.Steps {
		if s.Job.Spec.Times > 0 && s.occurrence.unfinished == 0 {
			continue
		}
		if sp, ok := s.progress(s.Occurrence*len(j.Spec.Steps) + s.Index); ok {
			p.Steps = append(p.Steps, sp)
		}
	}
	return p
}

// progress returns the step's progress; ok is false if there is nothing to persist.
func (s *StepRun) progress(at int) (sp StepProgress, ok bool) {
	sp = StepProgress{StepNumber: at, GangFailed: s.GangFailed}
	ok = len(s.GangFailed) > 0
	for i, t := range s.Tasks {
		switch {
		case t.Done:
			if sp.Done == nil {
				sp.Done = make([]byte, (len(s.Tasks)+7)/8)
			}
			sp.Done[i/8] |= 1 << (i % 8)
			ok = true
			continue
		case len(t.Failed) > 0:
			if sp.Failed == nil {
				sp.Failed = map[int][]int64{}
			}
			sp.Failed[i] = t.Failed
			ok = true
		}
		if len(t.Losses) > 0 {
			if sp.Losses == nil {
				sp.Losses = map[int]quarantine.Losses{}
			}
			sp.Losses[i] = t.Losses
			ok = true
		}
		if t.Checkpoint != "" {
			if sp.Checkpoints == nil {
				sp.Checkpoints, sp.CheckpointOrigins = map[int]string{}, map[int]CheckpointOrigin{}
			}
			sp.Checkpoints[i], sp.CheckpointOrigins[i] = t.Checkpoint, t.checkpointOrigin
			ok = true
		}
	}
	return sp, ok
}

// restore applies persisted progress to a new job.
func (j *Job) restore(p Progress) {
	j.progressRows = max(j.progressRows, p.Rows)
	if p.State.Final() {
		j.State, j.ReportedState, j.Started, j.restoredFinal = p.State, p.State, true, true
		if p.Stopping != nil {
			j.restoredUsage = *p.Stopping
		}
		return
	}
	if j.Spec.Times > 0 && p.Finished.valid(j.Spec.Times) {
		j.finished = p.Finished
		j.Started = len(p.Finished) > 0
	}
	for i := range p.Steps {
		j.restoreStep(&p.Steps[i])
	}
	j.collectSteps()
	j.ReportedState = j.derivedState()
	j.State = j.derivedState()
}

// restoreStep applies the progress of a step, or of some of its tasks.
func (j *Job) restoreStep(sp *StepProgress) {
	stepCount := len(j.Spec.Steps)
	if sp.StepNumber < 0 || sp.StepNumber/stepCount >= j.Spec.Occurrences() || j.finished.has(sp.StepNumber/stepCount) {
		return
	}
	s := j.insertOccurrence(sp.StepNumber / stepCount).steps[sp.StepNumber%stepCount]
	s.GangFailed = sp.GangFailed
	for i, t := range s.Tasks {
		if failed, ok := sp.Failed[i]; ok {
			t.Failed = failed
		}
		if losses, ok := sp.Losses[i]; ok {
			t.Losses = losses.ConfirmProvisional() // recorded before starts on trial, whose outcome is not known here
		}
		if checkpoint, ok := sp.Checkpoints[i]; ok {
			t.Checkpoint, t.checkpointOrigin = checkpoint, sp.CheckpointOrigins[i]
		}
		if i/8 < len(sp.Done) && sp.Done[i/8]&(1<<(i%8)) != 0 {
			j.finishTask(t)
		}
	}
	j.Started = true
}
