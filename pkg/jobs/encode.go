package jobs

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/gannetwell/gannetwell/pkg/blame"
)

const (
	// partTasks is how many tasks of a step one entry tells of in a progress of several rows.
	partTasks = 32
	// maxParts bounds the rows that a progress takes up, so that they fit into one transaction
	// beside what else waits.
	maxParts = 8
	// formatParts marks progress that earlier versions cannot read: they set its job apart, where
	// they would run again what it says is done.
	formatParts = 2
)

// ErrTooLarge reports what takes more bytes than can be kept.
type ErrTooLarge struct {
	What  string
	Bytes int
	Limit int
}

// Error names what is too large, and the limit.
func (e ErrTooLarge) Error() string {
	return fmt.Sprintf("%s takes %d bytes, at most %d can be kept", e.What, e.Bytes, e.Limit)
}

// Encode returns the progress as the values of its rows, none of which is longer than a limit. What
// makes tasks done or failed is kept in any case; checkpoints, and then losses, are left out of one
// that takes up too many rows: such tasks begin anew, and may bring another worker down.
func (p Progress) Encode(limit int) (rows [][]byte, err error) {
	defer func() { err = errors.Wrap(err, "encode job progress") }()
	for _, lighten := range []func(*StepProgress){
		func(*StepProgress) {},
		func(sp *StepProgress) { sp.Checkpoints = nil },
		func(sp *StepProgress) { sp.Losses = nil },
	} {
		p.Steps = slices.Clone(p.Steps)
		for i := range p.Steps {
			lighten(&p.Steps[i])
		}
		if rows, err = p.encode(limit); err == nil && len(rows) <= maxParts {
			return rows, nil
		}
	}
	if err == nil {
		err = ErrTooLarge{What: "the progress of a job", Bytes: len(rows) * limit, Limit: maxParts * limit}
	}
	return nil, err
}

// CheckSize tells whether the job can be kept in rows of a limited length, whatever becomes of it.
func (r *Record) CheckSize(record []byte, limit int) error {
	if len(record) > limit {
		return ErrTooLarge{What: "the job", Bytes: len(record), Limit: limit}
	}
	if worst, most := r.occurrenceBytes(), keepable(limit); worst > most {
		return ErrTooLarge{What: fmt.Sprintf("a job of %d tasks with %d attempts each", r.Spec.tasks(), r.MaxAttempts), Bytes: worst, Limit: most}
	}
	return nil
}

const (
	// stepBytes, taskBytes and attemptBytes are the most that is kept in any case of a step, of each
	// of its tasks, and of each failed attempt.
	stepBytes    = 40
	taskBytes    = 8
	attemptBytes = 9
)

// occurrenceBytes is the most that is kept in any case of one occurrence.
func (r *Record) occurrenceBytes() int {
	return len(r.Spec.Steps)*stepBytes + r.Spec.tasks()*(taskBytes+stepBytes/partTasks+max(1, r.MaxAttempts)*attemptBytes)
}

// keepable is how much of a job can be kept in rows of a limited length, with room to spare for how
// it falls into rows.
func keepable(limit int) int { return maxParts * limit * 3 / 4 }

// encode returns the progress as the values of as many rows as it takes.
func (p *Progress) encode(limit int) (rows [][]byte, err error) {
	whole, err := p.marshal()
	if err != nil || len(whole) <= limit {
		return [][]byte{whole}, err
	}
	first := Progress{State: p.State, Out: p.Out, Over: p.Over}
	part, size := Progress{}, 0
	var parts []Progress
	for _, sp := range p.Steps {
		for _, piece := range sp.pieces() {
			raw, err := msgpack.Marshal(&piece)
			if err != nil {
				return nil, err
			}
			if size+len(raw) > limit-envelope && size > 0 {
				parts, part, size = append(parts, part), Progress{}, 0
			}
			part.Steps, size = append(part.Steps, piece), size+len(raw)
		}
	}
	parts = append(parts, part)
	first.Parts = 1 + len(parts)
	for _, one := range append([]Progress{first}, parts...) {
		raw, err := one.marshal()
		if err != nil {
			return nil, err
		}
		if len(raw) > limit {
			return nil, ErrTooLarge{What: "a part of a job's progress", Bytes: len(raw), Limit: limit}
		}
		rows = append(rows, raw)
	}
	return rows, nil
}

// envelope is room for what a row holds beside its steps, in bytes.
const envelope = 64

// pieces divides what is kept of a step by tasks.
func (sp *StepProgress) pieces() []StepProgress {
	tasks := max(1, 8*len(sp.Done), 1+greatest(sp.Failed), 1+greatest(sp.Checkpoints), 1+greatest(sp.Losses))
	pieces := make([]StepProgress, (tasks+partTasks-1)/partTasks)
	for i := range pieces {
		pieces[i].At, pieces[i].GangFailed = sp.At, sp.GangFailed
		if from, to := i*partTasks/8, min((i+1)*partTasks/8, len(sp.Done)); from < to {
			pieces[i].Done = make([]byte, to)
			copy(pieces[i].Done[from:], sp.Done[from:to])
		}
	}
	deal(sp.Failed, pieces, func(one *StepProgress) *map[int][]int64 { return &one.Failed })
	deal(sp.Checkpoints, pieces, func(one *StepProgress) *map[int]string { return &one.Checkpoints })
	deal(sp.Losses, pieces, func(one *StepProgress) *map[int]blame.Losses { return &one.Losses })
	return pieces
}

// greatest is the greatest key, -1 for none.
func greatest[V any](m map[int]V) int {
	top := -1
	for k := range m {
		top = max(top, k)
	}
	return top
}

// deal puts what is known of tasks into the pieces that tell of them.
func deal[V any](all map[int]V, pieces []StepProgress, field func(*StepProgress) *map[int]V) {
	for task, v := range all {
		m := field(&pieces[task/partTasks])
		if *m == nil {
			*m = map[int]V{}
		}
		(*m)[task] = v
	}
}

// marshal encodes one row, in a form that earlier versions read if they understand all of it.
func (p *Progress) marshal() ([]byte, error) {
	if len(p.Over) == 0 && p.Parts == 0 {
		return msgpack.Marshal(p)
	}
	return msgpack.Marshal([]any{formatParts, p})
}

// DecodeProgress reads one row of a job's progress.
func DecodeProgress(raw []byte) (p Progress, err error) {
	defer func() { err = errors.Wrap(err, "decode job progress") }()
	if len(raw) == 0 || raw[0] != msgpcode.FixedArrayLow|2 {
		return p, msgpack.Unmarshal(raw, &p)
	}
	d := msgpack.NewDecoder(bytes.NewReader(raw))
	if _, err := d.DecodeArrayLen(); err != nil {
		return p, err
	}
	format, err := d.DecodeInt()
	if err != nil {
		return p, err
	}
	if format != formatParts {
		return p, errors.Errorf("format %d is not known", format)
	}
	return p, d.Decode(&p)
}

// Join puts the further rows of a progress behind its first one. There may be more, of a time when it
// took up more: what they say is out of date, and they are counted only.
func (p *Progress) Join(further []Progress) error {
	if len(further) < p.Parts-1 {
		return errors.Errorf("%d of %d rows of a job's progress are there", 1+len(further), p.Parts)
	}
	for i := range p.Parts - 1 {
		p.Steps = append(p.Steps, further[i].Steps...)
	}
	p.Parts = 1 + len(further)
	return nil
}

// ProgressRows is how many rows of progress there may be of the job.
func (j *Job) ProgressRows() int { return j.parts }

// NoteProgressRows notes how many rows of progress are written.
func (j *Job) NoteProgressRows(n int) { j.parts = max(j.parts, n) }
