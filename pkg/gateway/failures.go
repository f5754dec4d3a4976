package gateway

import (
	"fmt"
	"sync"
	"time"
)

// maxFailures is the number of recent failed requests that an entry remembers.
const maxFailures = 4096

// Failure describes a request that failed at this entry.
type Failure struct {
	At       time.Time // when the request arrived
	Route    string    // name of the route, empty if none matched
	Outcome  Outcome
	Reason   Reason
	Detail   string
	Attempts int
	Servers  []string      // backend servers tried, in order
	Took     time.Duration // time from arrival to failure
}

// Sentences describes the failure of the request for operators, one sentence per element.
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

// failures holds the most recent failed requests by ID.
type failures struct {
	mu    sync.Mutex
	byID  map[string]Failure
	order []string // request IDs, oldest first
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

// Failure returns the details of a recent failed request; ok is false if it is not remembered.
func (g *Gateway) Failure(id string) (f Failure, ok bool) {
	g.failures.mu.Lock()
	defer g.failures.mu.Unlock()
	f, ok = g.failures.byID[id]
	return f, ok
}
