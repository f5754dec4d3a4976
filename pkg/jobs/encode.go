package jobs

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/gannetwell/gannetwell/pkg/packed"
	"github.com/gannetwell/gannetwell/pkg/quarantine"
)

const (
	// tasksPerChunk is the number of a step's tasks in one chunk of its progress. Progress that
	// takes several rows is divided into chunks.
	tasksPerChunk = 32
	// maxProgressRows limits the rows of a job's progress, so that they fit into one transaction
	// together with other pending rows.
	maxProgressRows = 8
	// versionedFormat is the format number that precedes progress which earlier versions of the
	// program cannot decode. They leave the job out instead of rerunning tasks that are done.
	// Format 1, for all other progress, has no number.
	versionedFormat = 2
)

// ErrTooLarge reports a value that exceeds the size that can be persisted.
type ErrTooLarge struct {
	What  string
	Bytes int
	Limit int
}

// Error implements the error interface.
func (e ErrTooLarge) Error() string {
	return fmt.Sprintf("%s takes %d bytes, at most %d can be kept", e.What, e.Bytes, e.Limit)
}

// Encode returns the progress as the values of its rows, each at most limit bytes long. Completed
// tasks and failed attempts are always included. If there are too many rows, the longest checkpoints
// are omitted first, so that their tasks restart from the beginning, then all, and then worker losses.
func (p Progress) Encode(limit int) (rows [][]byte, err error) {
	defer func() { err = errors.Wrap(err, "encode job progress") }()
	omissions := []func(*StepProgress){func(*StepProgress) {}}
	for longest := limit / 2; longest > 0; longest /= 2 {
		omissions = append(omissions, func(sp *StepProgress) { sp.omitCheckpoints(longest) })
	}
	omissions = append(
		omissions,
		func(sp *StepProgress) { sp.omitCheckpoints(0) },
		func(sp *StepProgress) { sp.Losses = nil },
	)
	for _, omit := range omissions {
		p.Steps = slices.Clone(p.Steps)
		for i := range p.Steps {
			omit(&p.Steps[i])
		}
		if rows, err = p.encode(limit); err == nil && len(rows) <= maxProgressRows {
			return rows, nil
		}
	}
	if err == nil {
		err = ErrTooLarge{What: "the progress of a job", Bytes: len(rows) * limit, Limit: maxProgressRows * limit}
	}
	return nil, err
}

// omitCheckpoints removes the checkpoints of more than longest bytes; it leaves the former maps as they
// are.
func (sp *StepProgress) omitCheckpoints(longest int) {
	sp.Checkpoints, sp.CheckpointOrigins = maps.Clone(sp.Checkpoints), maps.Clone(sp.CheckpointOrigins)
	for i, checkpoint := range sp.Checkpoints {
		if len(checkpoint) > longest {
			delete(sp.Checkpoints, i)
			delete(sp.CheckpointOrigins, i)
		}
	}
}

// CheckSize returns an error if the record, or the largest progress that the job can have, does
// not fit into rows of limit bytes.
func (r *Record) CheckSize(record []byte, limit int) error {
	if len(record) > limit {
		return ErrTooLarge{What: "the job", Bytes: len(record), Limit: limit}
	}
	if needed, limitBytes := r.occurrenceBytes(), maxPersistedBytes(limit); needed > limitBytes {
		return ErrTooLarge{What: fmt.Sprintf("a job of %d tasks with %d attempts each", r.Spec.tasks(), r.MaxAttempts), Bytes: needed, Limit: limitBytes}
	}
	return nil
}

const (
	// stepBytes, taskBytes and attemptBytes are the maximum encoded sizes of a step, a task and a
	// failed attempt, without checkpoints and losses.
	stepBytes    = 40
	taskBytes    = 8
	attemptBytes = 9
)

// occurrenceBytes returns the maximum encoded size of one occurrence, without checkpoints and
// losses.
func (r *Record) occurrenceBytes() int {
	return len(r.Spec.Steps)*stepBytes + r.Spec.tasks()*(taskBytes+stepBytes/tasksPerChunk+max(1, r.MaxAttempts)*attemptBytes)
}

// maxPersistedBytes returns the maximum progress size for rows of limit bytes, with a margin for
// rows that cannot be filled completely.
func maxPersistedBytes(limit int) int { return maxProgressRows * limit * 3 / 4 }

// encode returns the progress as the values of as many rows as needed.
func (p *Progress) encode(limit int) (rows [][]byte, err error) {
	single, err := p.marshal()
	if err != nil || len(single) <= limit {
		return [][]byte{single}, err
	}
	first := Progress{State: p.State, Stopping: p.Stopping, Finished: p.Finished}
	part, size := Progress{}, 0
	var parts []Progress
	for _, sp := range p.Steps {
		for _, chunk := range sp.split() {
			raw, err := msgpack.Marshal(&chunk)
			if err != nil {
				return nil, err
			}
			if size+len(raw) > limit-rowOverheadBytes && size > 0 {
				parts, part, size = append(parts, part), Progress{}, 0
			}
			part.Steps, size = append(part.Steps, chunk), size+len(raw)
		}
	}
	parts = append(parts, part)
	first.Rows = 1 + len(parts)
	for _, row := range append([]Progress{first}, parts...) {
		raw, err := row.marshal()
		if err != nil {
			return nil, err
		}
		if len(raw) > limit {
			return nil, ErrTooLarge{What: "row of job progress", Bytes: len(raw), Limit: limit}
		}
		rows = append(rows, raw)
	}
	return rows, nil
}

// rowOverheadBytes is reserved in each row for everything besides its steps.
const rowOverheadBytes = 64

// split divides a step's progress into chunks of tasksPerChunk tasks.
func (sp *StepProgress) split() []StepProgress {
	tasks := max(1, 8*len(sp.Done), 1+maxKey(sp.Failed), 1+maxKey(sp.Checkpoints), 1+maxKey(sp.Losses))
	chunks := make([]StepProgress, (tasks+tasksPerChunk-1)/tasksPerChunk)
	for i := range chunks {
		chunks[i].StepNumber, chunks[i].GangFailed = sp.StepNumber, sp.GangFailed
		if from, to := i*tasksPerChunk/8, min((i+1)*tasksPerChunk/8, len(sp.Done)); from < to {
			chunks[i].Done = make([]byte, to)
			copy(chunks[i].Done[from:], sp.Done[from:to])
		}
	}
	distribute(sp.Failed, chunks, func(sp *StepProgress) *map[int][]int64 { return &sp.Failed })
	distribute(sp.Checkpoints, chunks, func(sp *StepProgress) *map[int]string { return &sp.Checkpoints })
	distribute(sp.CheckpointOrigins, chunks, func(sp *StepProgress) *map[int]CheckpointOrigin { return &sp.CheckpointOrigins })
	distribute(sp.Losses, chunks, func(sp *StepProgress) *map[int]quarantine.Losses { return &sp.Losses })
	return chunks
}

// maxKey returns the greatest key of a map, or -1 if the map is empty.
func maxKey[V any](m map[int]V) int {
	greatest := -1
	for k := range m {
		greatest = max(greatest, k)
	}
	return greatest
}

// distribute copies per-task values into the chunks that contain the tasks.
func distribute[V any](all map[int]V, chunks []StepProgress, field func(*StepProgress) *map[int]V) {
	for task, v := range all {
		m := field(&chunks[task/tasksPerChunk])
		if *m == nil {
			*m = map[int]V{}
		}
		(*m)[task] = v
	}
}

// marshal encodes one row. It uses the unversioned format if earlier versions of the program can
// decode the row completely.
func (p *Progress) marshal() ([]byte, error) {
	if len(p.Finished) == 0 && p.Rows == 0 {
		return msgpack.Marshal(p)
	}
	return msgpack.Marshal([]any{versionedFormat, p})
}

// DecodeProgress reads one row of a job's progress.
func DecodeProgress(raw []byte) (p Progress, err error) {
	defer func() { err = errors.Wrap(err, "decode job progress") }()
	if len(raw) == 0 || raw[0] != msgpcode.FixedArrayLow|2 {
		return p, packed.Unmarshal(raw, &p)
	}
	if err := packed.Check(raw); err != nil {
		return p, err
	}
	d := msgpack.NewDecoder(bytes.NewReader(raw))
	if _, err := d.DecodeArrayLen(); err != nil {
		return p, err
	}
	format, err := d.DecodeInt()
	if err != nil {
		return p, err
	}
	if format != versionedFormat {
		return p, errors.Errorf("unknown format %d", format)
	}
	return p, d.Decode(&p)
}

// Join appends the remaining rows to the first one. Rows beyond p.Rows are left over from larger
// progress: they are only counted, so that they are removed with the job.
func (p *Progress) Join(further []Progress) error {
	if len(further) < p.Rows-1 {
		return errors.Errorf("found only %d of %d rows of a job's progress", 1+len(further), p.Rows)
	}
	for i := range p.Rows - 1 {
		p.Steps = append(p.Steps, further[i].Steps...)
	}
	p.Rows = 1 + len(further)
	return nil
}

// ProgressRows returns the number of progress rows that may be stored for the job.
func (j *Job) ProgressRows() int { return j.progressRows }

// RecordProgressRows records that n progress rows were written.
func (j *Job) RecordProgressRows(n int) { j.progressRows = max(j.progressRows, n) }
