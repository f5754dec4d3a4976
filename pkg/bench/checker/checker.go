// Package checker counts harm from outside: at the callers, at the backend
// servers and at the platform's stand-in, never by the product's own word.
package checker

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Result is what came of one request by the caller's own judgement.
type Result string

// The results.
const (
	ResultWhole     Result = "whole"     // the whole answer to this request
	ResultWrong     Result = "wrong"     // an answer to another request, or a damaged one
	ResultTruncated Result = "truncated" // ended as if whole, but a part is missing
	ResultNotRun    Result = "not-run"   // the system says that it did not run
	ResultCut       Result = "cut"       // broken off, or its outcome is unknown
	ResultRefused   Result = "refused"   // an error with the outcome ran: the backend server's own
)

// Request is one request as its caller saw it.
type Request struct {
	ID       string
	Once     bool
	Class    schema.Class
	Entry    string // address that it was sent to
	Sent     time.Time
	Done     time.Time
	Result   Result
	Detail   string
	Revision int // table revision that the answer names, 0 for none
}

// Report is the summary.
type Report struct {
	Requests              int     `json:"requests"`
	Answered              int     `json:"answered"`
	NotRun                int     `json:"not_run"`
	WrongAnswers          int     `json:"wrong_answers"`
	Truncated             int     `json:"truncated"`
	OnceRequests          int     `json:"once_requests"`
	OnceRanTwice          int     `json:"once_ran_twice"`
	NotRunButRan          int     `json:"not_run_but_ran"`
	CutOff                int     `json:"cut_off"`
	BudgetViolations      int     `json:"budget_violations"`
	VMsInTwoPools         int     `json:"vms_in_two_pools"`
	NewWorkAfterLeavingMs float64 `json:"new_work_after_leaving_ms_max"`
	ConfigInForceMs       float64 `json:"config_in_force_ms_max"`
	ConfigReverts         int     `json:"config_reverts"`
	Edits                 int     `json:"edits"`
	WaveDone              bool    `json:"wave_done"`
	WaveSeconds           float64 `json:"wave_seconds"`
	Moves                 int     `json:"moves"`
	BufferVMs             int     `json:"buffer_vms"`
	P50Ms                 float64 `json:"p50_ms"`
	P99Ms                 float64 `json:"p99_ms"`
	P999Ms                float64 `json:"p999_ms"`
}

// Harm tells whether a counter that must stay zero has risen.
func (r Report) Harm() bool {
	return r.WrongAnswers+r.Truncated+r.OnceRanTwice+r.NotRunButRan+r.CutOff+
		r.BudgetViolations+r.VMsInTwoPools+r.ConfigReverts > 0
}

// accepted is an edit and when an operator was told of it.
type accepted struct {
	revision int
	at       time.Time
}

// ranBound caps the run counts that are kept.
const ranBound = 4 << 20

// Checker counts; its methods may be called from many goroutines.
type Checker struct {
	mu      sync.Mutex
	report  Report
	begun   int                 // requests at backend servers
	ran     map[string]int      // runs by request
	once    map[string]struct{} // requests that must not be repeated
	notRun  []string            // requests that the system says did not run
	latency *hdrhistogram.Histogram
	details []string // of the first harms

	edits    []accepted
	revision map[string]int // highest seen by entry address

	fleet fleetState
}

const (
	maxLatencyUs = 10 * 60 * 1000 * 1000
	keptDetails  = 20
)

// New returns a checker.
func New() *Checker {
	return &Checker{
		ran: map[string]int{}, once: map[string]struct{}{}, revision: map[string]int{},
		latency: hdrhistogram.New(1, maxLatencyUs, 3),
		fleet:   newFleetState(),
	}
}

// Revision returns the highest revision that an entry has shown; callers ask before they send.
func (c *Checker) Revision(entry string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision[entry]
}

// Finished takes the result of a request; seen is the entry's revision when it was sent.
func (c *Checker) Finished(r Request, seen int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Requests++
	if r.Once {
		c.report.OnceRequests++
		c.once[r.ID] = struct{}{}
	}
	switch r.Result {
	case ResultWhole, ResultRefused:
		c.report.Answered++
		if r.Class != schema.ClassLive {
			_ = c.latency.RecordValue(max(1, r.Done.Sub(r.Sent).Microseconds()))
		}
	case ResultWrong:
		c.report.WrongAnswers++
	case ResultTruncated:
		c.report.Truncated++
	case ResultNotRun:
		c.report.NotRun++
		c.notRun = append(c.notRun, r.ID)
	case ResultCut:
		c.report.CutOff++
	}
	if r.Result != ResultWhole && r.Result != ResultNotRun {
		c.detail(string(r.Result) + " " + string(r.Class) + " " + r.ID + " at " + r.Entry + ": " + r.Detail)
	}
	c.config(r, seen)
}

// detail keeps the first harms for people; the caller holds the lock.
func (c *Checker) detail(s string) {
	if len(c.details) < keptDetails {
		c.details = append(c.details, s)
	}
}

// config judges the revision that an answer named; the caller holds the lock.
func (c *Checker) config(r Request, seen int) {
	if r.Revision == 0 {
		return
	}
	if r.Revision < seen {
		c.report.ConfigReverts++
		c.detail("entry " + r.Entry + " went back to an earlier revision")
	}
	c.revision[r.Entry] = max(c.revision[r.Entry], r.Revision)
	i, _ := slices.BinarySearchFunc(c.edits, r.Revision+1, func(a accepted, revision int) int { return a.revision - revision })
	if i < len(c.edits) && r.Sent.After(c.edits[i].at) {
		c.report.ConfigInForceMs = max(c.report.ConfigInForceMs, milliseconds(r.Sent.Sub(c.edits[i].at)))
	}
}

// Accepted notes an edit that an operator was told is accepted.
func (c *Checker) Accepted(revision int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Edits++
	c.edits = append(c.edits, accepted{revision, at})
	slices.SortFunc(c.edits, func(a, b accepted) int { return a.revision - b.revision })
}

// Began notes that a backend server began a request.
func (c *Checker) Began(vm, service, id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun++
	if len(c.ran) < ranBound {
		c.ran[id]++
	}
	if late := c.fleet.began(vm, service, at); late > 0 {
		c.report.NewWorkAfterLeavingMs = max(c.report.NewWorkAfterLeavingMs, milliseconds(late))
	}
	if c.fleet.servesTwo(vm) {
		c.report.VMsInTwoPools++
		c.detail("VM " + vm + " serves two services at once")
	}
}

// Requests returns how many requests backend servers have begun.
func (c *Checker) Requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// Ended notes that a backend server ended a request.
func (c *Checker) Ended(vm, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.ended(vm, service)
}

// Power notes that a VM goes down or comes up.
func (c *Checker) Power(vm string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.off[vm] = !on
	c.budgets()
}

// Leaving notes that the platform tells a VM that it is leaving, or takes that back.
func (c *Checker) Leaving(vm string, leaving bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.leaving(vm, leaving, at)
	c.budgets()
}

// Wrote implements fake.Observer.
func (c *Checker) Wrote(w platform.Write) {
	key, ok := replica.ParseRowKey(w.Key)
	if !ok {
		return
	}
	var row table.StoredRow
	if !w.Remove {
		row, _ = replica.ParseRow(w.Key, w.Value) // a row that cannot be read stays as it was
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleet.wrote(key, row, w.Remove, time.Now()) {
		c.report.Moves++
	}
	c.budgets()
	if vm, ok := c.fleet.twice(key); ok {
		c.report.VMsInTwoPools++
		c.detail("VM " + vm + " has the address of another one")
	}
}

// budgets counts pools that have come to be over their budget; the caller holds the lock.
func (c *Checker) budgets() {
	for _, pool := range c.fleet.newlyOver() {
		c.report.BudgetViolations++
		c.detail("pool " + pool + " is over its budget")
	}
}

// Report returns the summary so far.
func (c *Checker) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	for id := range c.once {
		if c.ran[id] > 1 {
			r.OnceRanTwice++
		}
	}
	for _, id := range c.notRun {
		if c.ran[id] > 0 {
			r.NotRunButRan++
		}
	}
	r.BufferVMs = c.fleet.buffer()
	r.WaveDone, r.WaveSeconds = c.fleet.wave()
	r.P50Ms = float64(c.latency.ValueAtQuantile(50)) / 1000
	r.P99Ms = float64(c.latency.ValueAtQuantile(99)) / 1000
	r.P999Ms = float64(c.latency.ValueAtQuantile(99.9)) / 1000
	return r
}

// Details returns what is known of the first harms.
func (c *Checker) Details() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.details)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
