package gateway

import (
	"fmt"
	"sync"
	"time"
)

// maxFailures is how many of the last requests that failed an entry remembers.
const maxFailures = 4096

// Failure is a request that failed, as far as the entry knows.
type Failure struct {
	At       time.Time
	Route    string
	Outcome  Outcome
	Reason   Reason
	Detail   string
	Attempts int
	Servers  []string // that it was tried at, in order
	Took     time.Duration
}

// Sentences tell what happened to the request.
func (f Failure) Sentences(id, entry string) []string {
	out := []string{fmt.Sprintf("Request %s failed at entry %s at %s after %s.", id, entry, f.At.UTC().Format(time.RFC3339Nano), f.Took.Round(time.Microsecond))}
	if f.Route == "" {
		out = append(out, "No route had been chosen.")
	} else {
		out = append(out, fmt.Sprintf("Its route was %s; it was tried at %d servers: %v.", f.Route, f.Attempts, f.Servers))
	}
	out = append(out, fmt.Sprintf("The reason was %s: %s.", f.Reason, f.Detail))
	switch f.Outcome {
	case OutcomeNotRun:
		out = append(out, "It did not run: no byte of it reached a backend server, so it is safe to send it again.")
	case OutcomeRan:
		out = append(out, "It ran: a backend server answered it.")
	case OutcomeUnknown:
		out = append(out, "It may have run: it was handed to a backend server, or an earlier one with its key was, and no whole answer came.")
	}
	return out
}

// failures remembers the last requests that failed, by ID.
type failures struct {
	mu    sync.Mutex
	byID  map[string]Failure
	order []string // the oldest first, at most keptFailures
}

func (f *failures) add(id string, failure Failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byID == nil {
		f.byID = map[string]Failure{}
	}
	if _, again := f.byID[id]; !again {
		f.order = append(f.order, id)
	}
	f.byID[id] = failure
	if len(f.order) > maxFailures {
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
}

// Failure returns what the entry remembers of a request that failed.
func (g *Gateway) Failure(id string) (f Failure, ok bool) {
	g.failures.mu.Lock()
	defer g.failures.mu.Unlock()
	f, ok = g.failures.byID[id]
	return f, ok
}
