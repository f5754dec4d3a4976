package jobs

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Bounds of a submission. What is accepted is laid out by each owner of its shard, and must be
// possible to keep whatever becomes of it.
const (
	maxSteps     = 256
	maxTasks     = 4096 // of all steps of one occurrence
	maxSpecBytes = 4000 // of the text that workers get
	maxNameBytes = 200  // of a label, rack or image
)

// maxDue bounds the times of a job since 1970, well within what a duration can hold.
const (
	year   = 365 * 24 * time.Hour
	maxDue = 200 * year
)

// Spec is a job as it was submitted.
type Spec struct {
	Text     string        `msgpack:"x"` // what workers get with each start
	Steps    []Step        `msgpack:"s"`
	Times    int           `msgpack:"t,omitempty"` // number of occurrences, 0 for one that is due at once
	Interval time.Duration `msgpack:"i,omitempty"` // between occurrences
	FirstDue time.Duration `msgpack:"f,omitempty"` // of occurrence 0, since 1970
}

// Step is a number of like tasks.
type Step struct {
	Count         int                `msgpack:"n"`
	Needs         platform.Resources `msgpack:"r"` // of one task
	Estimate      time.Duration      `msgpack:"e,omitempty"`
	After         []int              `msgpack:"a,omitempty"` // steps that must be done before
	Checkpointing bool               `msgpack:"k,omitempty"`
	Gang          bool               `msgpack:"g,omitempty"` // its tasks run only all together
	SameRack      bool               `msgpack:"w,omitempty"` // slower when spread over racks
	Speculative   bool               `msgpack:"c,omitempty"` // copies may run at the same time
	LongRunning   bool               `msgpack:"l,omitempty"` // runs until the job is cancelled
	Filler        bool               `msgpack:"f,omitempty"` // uses processor time that others leave
	Label         string             `msgpack:"b,omitempty"` // that the worker must have
	DataRack      string             `msgpack:"d,omitempty"` // rack of its data, slower elsewhere
	MaxPerWorker  int                `msgpack:"m,omitempty"` // tasks of the step on one worker, 0 for any number
	Image         string             `msgpack:"i,omitempty"` // tasks of one image behave alike
	TailTarget    time.Duration      `msgpack:"q,omitempty"` // of the answers that a serving task gives
	MaxUnavailable       int                `msgpack:"y,omitempty"` // long-running tasks that may be away by our doing
	HasMaxUnavailable       bool               `msgpack:"z,omitempty"` // MayMiss was given
}

// Check tells what is wrong with a submission.
func (s *Spec) Check() (err error) {
	defer func() { err = errors.Wrap(err, "job") }()
	switch {
	case len(s.Text) > maxSpecBytes:
		return errors.Errorf("the task text has %d bytes, at most %d are taken", len(s.Text), maxSpecBytes)
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return errors.Errorf("%d steps, 1 to %d are taken", len(s.Steps), maxSteps)
	case s.Times < 0 || s.Interval < 0:
		return errors.New("times and their interval must not be negative")
	case s.Times > 0 && (s.FirstDue > maxDue || s.Interval > (maxDue-max(0, s.FirstDue))/time.Duration(s.Times)):
		return errors.Errorf("its last time is more than %d years after 1970", maxDue/year)
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
	}
	return s.CheckTaskCount()
}

// CheckTaskCount tells whether a job that was accepted by whatever version can be laid out.
func (s *Spec) CheckTaskCount() error {
	if n := s.tasks(); n > maxTasks {
		return errors.Errorf("%d tasks in all steps, at most %d are laid out", n, maxTasks)
	}
	return nil
}

// tasks is how many tasks one occurrence has.
func (s *Spec) tasks() (n int) {
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// due is when an occurrence may start, in Unix time; 0 for at once.
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
	if n := st.Needs; n.CPU < 0 || n.MemoryMB < 0 || n.GPU < 0 {
		return errors.New("resources must not be negative")
	}
	for _, name := range []string{st.Label, st.DataRack, st.Image} {
		if len(name) > maxNameBytes {
			return errors.Errorf("a name has %d bytes, at most %d are taken", len(name), maxNameBytes)
		}
	}
	var before [maxSteps]bool
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

// Occurrences is the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(s.Times, 1) }

// Record is what is kept of a job from its acceptance on.
type Record struct {
	Queue       string        `msgpack:"q"`
	AcceptedAt  time.Duration `msgpack:"a"`           // Unix time by the clock of the entry that took it
	MaxAttempts int           `msgpack:"m"`           // failed attempts of a task after which the job has failed
	Account     string        `msgpack:"c,omitempty"` // client account that handed it in, empty for none
	Excess      bool          `msgpack:"e,omitempty"` // it came beyond what the account has been promised
	Spec        Spec          `msgpack:"s"`
}

// BelongsTo tells whether a client account may ask for the job and cancel it. A job
// that was handed in without an account, or kept by a version that knew none, is
// open to every caller whom its queue admits.
func (r *Record) BelongsTo(account string) bool {
	return r.Account == "" || r.Account == account
}

// Encode returns the record as bytes.
func (r *Record) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(r)
	return raw, errors.Wrap(err, "encode job record")
}

// DecodeRecord reverses Encode.
func DecodeRecord(raw []byte) (r Record, err error) {
	err = msgpack.Unmarshal(raw, &r)
	return r, errors.Wrap(err, "decode job record")
}

// TaskID names a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name that workers know the task by.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}
