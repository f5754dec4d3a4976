package jobs

import (
	"fmt"
	"reflect"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/packed"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// MaxSteps is the greatest number of steps of a job.
const MaxSteps = 256

// Limits of a submission. They bound the memory and the stored progress of a job.
const (
	maxTasks     = 4096 // in all steps of one occurrence
	maxSpecBytes = 4000 // of Spec.Text
	maxNameBytes = 200  // of a label, rack or image
)

// maxDueTime limits a job's due times, as time since the Unix epoch, to avoid overflow.
const (
	year       = 365 * 24 * time.Hour
	maxDueTime = 200 * year
)

// Spec is a job as submitted.
type Spec struct {
	Text     string        `msgpack:"x"` // passed to workers with each start
	Steps    []Step        `msgpack:"s"`
	Times    int           `msgpack:"t,omitempty"` // number of occurrences, 0 for a single one without a schedule
	Interval time.Duration `msgpack:"i,omitempty"` // between occurrences
	FirstDue time.Duration `msgpack:"f,omitempty"` // of occurrence 0, since the Unix epoch
}

// Step is a number of identical tasks.
type Step struct {
	Count             int                `msgpack:"n"`
	Needs             platform.Resources `msgpack:"r"`           // resources of one task
	Estimate          time.Duration      `msgpack:"e,omitempty"` // expected duration of one task
	After             []int              `msgpack:"a,omitempty"` // indexes of the steps it depends on
	Checkpointing     bool               `msgpack:"k,omitempty"` // its tasks report checkpoints to resume from
	Gang              bool               `msgpack:"g,omitempty"` // all tasks run together or none
	SameRack          bool               `msgpack:"w,omitempty"` // slower when spread over racks
	Speculative       bool               `msgpack:"c,omitempty"` // several attempts of a task may run concurrently
	LongRunning       bool               `msgpack:"l,omitempty"` // runs until the job is cancelled
	Filler            bool               `msgpack:"f,omitempty"` // best effort, uses otherwise idle CPU time
	Label             string             `msgpack:"b,omitempty"` // required of the worker
	DataRack          string             `msgpack:"d,omitempty"` // rack of its data, slower elsewhere
	MaxPerWorker      int                `msgpack:"m,omitempty"` // tasks of the step on one worker, 0 for no limit
	Image             string             `msgpack:"i,omitempty"` // tasks with the same image are expected to behave alike
	TailTarget        time.Duration      `msgpack:"q,omitempty"` // tail latency target of a serving task
	MaxUnavailable    int                `msgpack:"y,omitempty"` // long-running tasks that drains may interrupt at the same time
	HasMaxUnavailable bool               `msgpack:"z,omitempty"` // MaxUnavailable was given
}

// intBytes is the size of an integer, in bytes.
const intBytes = 8

// MemoryBytes returns about how much memory a submission takes with its encoded record, in bytes.
func (s *Spec) MemoryBytes() int {
	n := int(reflect.TypeFor[Spec]().Size()) + 2*len(s.Text)
	for i := range s.Steps {
		st := &s.Steps[i]
		n += int(reflect.TypeFor[Step]().Size()) + 2*(len(st.Label)+len(st.DataRack)+len(st.Image)) + 2*len(st.After)*intBytes
	}
	return n
}

// LaidOutBytes returns about how much memory a job takes with its tasks, in bytes; one on a schedule, while many of its
// occurrences are due.
func (s *Spec) LaidOutBytes() int {
	const placesBytes = 64 // of a task, or a step, in lists
	tasks, occurrences := s.tasks(), 1
	if s.Times > 0 {
		occurrences = max(1, min(s.Times, maxExpandedTasks/max(1, tasks)))
	}
	taskBytes := placesBytes + int(reflect.TypeFor[Task]().Size())
	stepBytes := placesBytes + int(reflect.TypeFor[StepRun]().Size())
	return s.MemoryBytes() + occurrences*(tasks*taskBytes+len(s.Steps)*stepBytes)
}

// Check validates a submission.
func (s *Spec) Check() (err error) {
	defer func() { err = errors.Wrap(err, "job") }()
	switch {
	case len(s.Text) > maxSpecBytes:
		return errors.Errorf("the task text has %d bytes, at most %d are taken", len(s.Text), maxSpecBytes)
	case len(s.Steps) > MaxSteps:
		return errors.Errorf("%d steps, 1 to %d are taken", len(s.Steps), MaxSteps)
	}
	for i := range s.Steps {
		if err := s.Steps[i].checkNames(); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
	}
	if err := s.checkLayout(); err != nil {
		return err
	}
	return s.CheckTaskCount()
}

// checkLayout returns an error if the job can't be laid out as tasks. It holds for stored jobs as well, which any
// writer may have written.
func (s *Spec) checkLayout() error {
	switch {
	case len(s.Steps) == 0:
		return errors.Errorf("0 steps, 1 to %d are taken", MaxSteps)
	case s.Times < 0 || s.Interval < 0:
		return errors.New("times and their interval must not be negative")
	case s.Times > 0 && (s.FirstDue > maxDueTime || s.Interval > (maxDueTime-max(0, s.FirstDue))/time.Duration(s.Times)):
		return errors.Errorf("its last time is more than %d years after 1970", maxDueTime/year)
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
	}
	return nil
}

// CheckTaskCount returns an error if the job has too many tasks. It is also called for restored
// jobs, which another version may have accepted.
func (s *Spec) CheckTaskCount() error {
	if n := s.tasks(); n > maxTasks {
		return errors.Errorf("%d tasks in all steps, at most %d are laid out", n, maxTasks)
	}
	return nil
}

// tasks returns the number of tasks of one occurrence.
func (s *Spec) tasks() (n int) {
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// due returns when an occurrence may start, as time since the Unix epoch, or 0 for immediately.
func (s *Spec) due(occurrence int) time.Duration {
	if s.Times == 0 {
		return 0
	}
	return s.FirstDue + time.Duration(occurrence)*s.Interval
}

func (st *Step) check(at int) error {
	if st.Count < 1 || st.Count > maxTasks {
		return errors.Errorf("%d tasks, 1 to %d are taken", st.Count, maxTasks)
	}
	if !st.Needs.InRange() {
		return errors.Errorf("resources must not be negative or above %+v", platform.MaxResources)
	}
	var before [MaxSteps]bool
	for _, a := range st.After {
		if a < 0 || a >= at {
			return errors.Errorf("waits for step %d, which is no earlier one", a)
		}
		if before[a] {
			return errors.Errorf("waits for step %d twice", a)
		}
		before[a] = true
	}
	return nil
}

func (st *Step) checkNames() error {
	for _, name := range []string{st.Label, st.DataRack, st.Image} {
		if len(name) > maxNameBytes {
			return errors.Errorf("a name has %d bytes, at most %d are taken", len(name), maxNameBytes)
		}
	}
	return nil
}

// Occurrences returns the number of times that the steps run, at least 1.
func (s *Spec) Occurrences() int { return max(s.Times, 1) }

// Record is the persisted description of an accepted job.
type Record struct {
	Queue       string        `msgpack:"q"`
	AcceptedAt  time.Duration `msgpack:"a"`           // since the Unix epoch, by the clock of the entry that accepted it
	MaxAttempts int           `msgpack:"m"`           // failed attempts of a task after which the job fails
	Account     string        `msgpack:"c,omitempty"` // client account that submitted it, empty for none
	Excess      bool          `msgpack:"e,omitempty"` // submitted beyond the account's guaranteed rate
	Spec        Spec          `msgpack:"s"`

	Route          string                `msgpack:"r,omitempty"` // of the queue, which keeps it when its name or its pool changes
	CatalogVersion int64                 `msgpack:"v,omitempty"` // of the configuration by which the job was routed
	ServiceLevel   *catalog.ServiceLevel `msgpack:"t,omitempty"` // of the queue when the job was accepted
}

// BelongsTo reports whether a client account may query and cancel the job. A job without an
// account is open to every caller that its queue admits.
func (r *Record) BelongsTo(account string) bool {
	return r.Account == "" || r.Account == account
}

// Encode returns the msgpack encoding of the record.
func (r *Record) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(r)
	return raw, errors.Wrap(err, "encode job record")
}

// DecodeRecord decodes a record encoded by [Record.Encode].
func DecodeRecord(raw []byte) (r Record, err error) {
	defer func() { err = errors.Wrap(err, "decode job record") }()
	return r, packed.Unmarshal(raw, &r)
}

// DecodeRunnable decodes a record and returns an error also for a job that can't be laid out.
func DecodeRunnable(raw []byte) (r Record, err error) {
	if r, err = DecodeRecord(raw); err != nil {
		return Record{}, err
	}
	if err := r.Spec.checkLayout(); err != nil {
		return Record{}, errors.Wrap(err, "job record")
	}
	return r, nil
}

// TaskID identifies a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name that workers identify the task by.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}
