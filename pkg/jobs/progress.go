package jobs

import (
	"slices"

	"github.com/gannetwell/gannetwell/pkg/blame"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Progress is what is kept of how far a job has come.
type Progress struct {
	State State          `msgpack:"s,omitempty"` // empty while it goes on
	Steps []StepProgress `msgpack:"p,omitempty"`
	// Over are the occurrences that are done, as spans.
	Over spans `msgpack:"v,omitempty"`
	// Parts is the number of rows that the progress takes up, 0 for one.
	Parts int `msgpack:"n,omitempty"`
	// Out is what attempts of a final job still took, which were being stopped.
	Out *platform.Resources `msgpack:"o,omitempty"`
}

// StepProgress is the part of one step in which something has happened.
type StepProgress struct {
	At          int             `msgpack:"a"`           // number of the occurrence times that of steps, and that of the step
	Done        []byte          `msgpack:"d,omitempty"` // a bit for each task
	Failed      map[int][]int64 `msgpack:"f,omitempty"` // numbers of failed attempts, by task
	Checkpoints map[int]string  `msgpack:"c,omitempty"` // by task
	GangFailed  []int64         `msgpack:"g,omitempty"`

	Losses map[int]blame.Losses `msgpack:"l,omitempty"` // by task
}

// Progress returns what is to be kept of the job.
func (j *Job) Progress() Progress {
	p := Progress{}
	if j.State.Final() {
		p.State = j.State
		if out := j.outstanding(); out != (platform.Resources{}) {
			p.Out = &out
		}
		return p
	}
	if j.Spec.Times > 0 {
		p.Over = slices.Clone(j.finished)
	}
	for _, s := range j.Steps {
		if s.Job.Spec.Times > 0 && s.of.unfinished == 0 {
			continue
		}
		if sp, ok := s.progress(s.Occurrence*len(j.Spec.Steps) + s.Index); ok {
			p.Steps = append(p.Steps, sp)
		}
	}
	return p
}

func (s *StepRun) progress(at int) (sp StepProgress, ok bool) {
	sp = StepProgress{At: at, GangFailed: s.GangFailed}
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
				sp.Losses = map[int]blame.Losses{}
			}
			sp.Losses[i] = t.Losses
			ok = true
		}
		if t.Checkpoint != "" {
			if sp.Checkpoints == nil {
				sp.Checkpoints = map[int]string{}
			}
			sp.Checkpoints[i] = t.Checkpoint
			ok = true
		}
	}
	return sp, ok
}

// restore applies kept progress to a new job.
func (j *Job) restore(p Progress) {
	j.parts = max(j.parts, p.Parts)
	if p.State.Final() {
		j.State, j.PersistedState, j.Started, j.over = p.State, p.State, true, true
		if p.Out != nil {
			j.leftOver = *p.Out
		}
		return
	}
	if j.Spec.Times > 0 && p.Over.valid(j.Spec.Times) {
		j.finished = p.Over
		j.Started = len(p.Over) > 0
	}
	for i := range p.Steps {
		j.restoreStep(&p.Steps[i])
	}
	j.gather()
	j.PersistedState = j.visible()
	j.State = j.visible()
}

// restoreStep applies what is kept of a step, which may be a part of it.
func (j *Job) restoreStep(sp *StepProgress) {
	width := len(j.Spec.Steps)
	if sp.At < 0 || sp.At/width >= j.Spec.Occurrences() || j.finished.has(sp.At/width) {
		return
	}
	s := j.add(sp.At / width).steps[sp.At%width]
	s.GangFailed = sp.GangFailed
	for i, t := range s.Tasks {
		if failed, ok := sp.Failed[i]; ok {
			t.Failed = failed
		}
		if losses, ok := sp.Losses[i]; ok {
			t.Losses = losses.Happened()
		}
		if checkpoint, ok := sp.Checkpoints[i]; ok {
			t.Checkpoint = checkpoint
		}
		if i/8 < len(sp.Done) && sp.Done[i/8]&(1<<(i%8)) != 0 {
			j.finishTask(t)
		}
	}
	j.Started = true
}
