package jobs

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/blame"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Progress is what is kept of how far a job has come.
type Progress struct {
	State State          `msgpack:"s,omitempty"` // empty while it goes on
	Steps []StepProgress `msgpack:"p,omitempty"`
	// Out is what attempts of a final job still took, which were being stopped.
	Out *platform.Resources `msgpack:"o,omitempty"`
}

// StepProgress is the part of one step in which something has happened.
type StepProgress struct {
	At          int             `msgpack:"a"`           // index in Job.Steps
	Done        []byte          `msgpack:"d,omitempty"` // a bit for each task
	Failed      map[int][]int64 `msgpack:"f,omitempty"` // numbers of failed attempts, by task
	Checkpoints map[int]string  `msgpack:"c,omitempty"` // by task
	GangFailed  []int64         `msgpack:"g,omitempty"`

	Losses map[int]blame.Losses `msgpack:"l,omitempty"` // by task
}

// Encode returns the progress as bytes.
func (p *Progress) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(p)
	return raw, errors.Wrap(err, "encode job progress")
}

// DecodeProgress reverses Encode.
func DecodeProgress(raw []byte) (p Progress, err error) {
	err = msgpack.Unmarshal(raw, &p)
	return p, errors.Wrap(err, "decode job progress")
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
	for at, s := range j.Steps {
		if sp, ok := s.progress(at); ok {
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

// restore applies kept progress to a job that was just laid out.
func (j *Job) restore(p Progress) {
	if p.State.Final() {
		j.State, j.Kept, j.Begun, j.over = p.State, p.State, true, true
		if p.Out != nil {
			j.leftOver = *p.Out
		}
		return
	}
	for _, sp := range p.Steps {
		if sp.At < 0 || sp.At >= len(j.Steps) {
			continue
		}
		s := j.Steps[sp.At]
		s.GangFailed = sp.GangFailed
		for i, t := range s.Tasks {
			t.Failed = sp.Failed[i]
			t.Losses = sp.Losses[i].Happened()
			t.Checkpoint = sp.Checkpoints[i]
			if i/8 < len(sp.Done) && sp.Done[i/8]&(1<<(i%8)) != 0 {
				j.finishTask(t)
			}
		}
		j.Begun = true
	}
	j.Kept = j.visible()
	j.State = j.visible()
}
