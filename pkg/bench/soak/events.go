package soak

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// EventKind is what a worker did.
type EventKind string

// Values of EventKind.
const (
	EventStarted  EventKind = "started"
	EventEnded    EventKind = "ended"
	EventAcked    EventKind = "acknowledged" // an end
	EventTooLarge EventKind = "too_large"    // a start exceeded the worker's resources
	EventReady    EventKind = "ready"        // the stand-in takes calls
)

// Event is a line that the process of the stand-in writes.
type Event struct {
	At         int64              `json:"at"` // Unix nanoseconds
	Kind       EventKind          `json:"kind"`
	Boot       string             `json:"boot,omitempty"`
	Task       string             `json:"task,omitempty"`
	Attempt    int64              `json:"attempt,omitempty"`
	Reason     platform.EndReason `json:"reason,omitempty"`
	Checkpoint string             `json:"checkpoint,omitempty"`
	Address    string             `json:"address,omitempty"` // of the table service, with EventReady
	Counts     bool               `json:"counts,omitempty"`  // no lease at the boot has lapsed since the end, with EventAcked
}

// eventWriter writes events as JSON lines; it implements fake.WorkersObserver.
type eventWriter struct {
	mu  sync.Mutex
	out *json.Encoder
}

func newEventWriter(w io.Writer) *eventWriter { return &eventWriter{out: json.NewEncoder(w)} }

// write writes an event. A failure means that the reader, the soak, has ended.
func (w *eventWriter) write(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.At = time.Now().UnixNano()
	_ = w.out.Encode(e)
}

// Started implements fake.WorkersObserver.
func (w *eventWriter) Started(boot, task string, attempt int64, checkpoint string) {
	w.write(Event{Kind: EventStarted, Boot: boot, Task: task, Attempt: attempt, Checkpoint: checkpoint})
}

// Ended implements fake.WorkersObserver.
func (w *eventWriter) Ended(boot, task string, attempt int64, reason platform.EndReason) {
	w.write(Event{Kind: EventEnded, Boot: boot, Task: task, Attempt: attempt, Reason: reason})
}

// Acked implements fake.WorkersObserver.
func (w *eventWriter) Acked(boot string, end platform.AttemptEnd, counts bool) {
	w.write(Event{Kind: EventAcked, Boot: boot, Task: end.Task, Attempt: end.Attempt, Reason: end.Reason, Checkpoint: end.Checkpoint, Counts: counts})
}

// Overcommitted implements fake.WorkersObserver.
func (w *eventWriter) Overcommitted(boot, task string) {
	w.write(Event{Kind: EventTooLarge, Boot: boot, Task: task})
}

// Crashed implements fake.WorkersObserver; no drawn task crashes its worker.
func (w *eventWriter) Crashed(string, string) {}
