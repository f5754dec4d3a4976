// Package checker counts violations of the product's guarantees: wrong, truncated or
// cut-off responses, repeated execution, exceeded pool budgets, VMs that serve two pools,
// and configuration revisions that decrease. It relies only on what callers,
// backend servers and the simulated platform report, not on the product's own metrics.
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

// Result classifies the outcome of one request as its caller saw it.
type Result string

// Results of a request.
const (
	ResultComplete     Result = "whole"     // the full response to this request
	ResultWrong        Result = "wrong"     // a response to another request, or a corrupted one
	ResultTruncated    Result = "truncated" // ended normally, but incomplete
	ResultNotRun       Result = "not-run"   // the entry reports that it did not run
	ResultCutOff       Result = "cut"       // connection broken or outcome unknown
	ResultBackendError Result = "refused"   // an error status of the backend server
)

// Request is a finished request as its caller saw it.
type Request struct {
	ID       string
	Once     bool
	Class    schema.Class
	Entry    string // address of the entry it was sent to
	Sent     time.Time
	Done     time.Time
	Result   Result
	Detail   string
	Revision int // table revision in the response, 0 for none
}

// Report holds the counters of a run; durations are maxima or quantiles over the run.
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

// HasViolations reports whether any counter of violations is above zero.
func (r Report) HasViolations() bool {
	return r.WrongAnswers+r.Truncated+r.OnceRanTwice+r.NotRunButRan+r.CutOff+
		r.BudgetViolations+r.VMsInTwoPools+r.ConfigReverts > 0
}

// acceptedEdit is an edit and the time at which the operator learned of its acceptance.
type acceptedEdit struct {
	revision int
	at       time.Time
}

// maxTrackedRequests bounds the memory for run counts.
const maxTrackedRequests = 4 << 20

// Checker collects events and counts violations; it is safe for concurrent use.
type Checker struct {
	mu        sync.Mutex
	report    Report
	started   int                 // requests started at backend servers
	runs      map[string]int      // executions by request ID
	onceIDs   map[string]struct{} // IDs of requests that must run at most once
	notRunIDs []string            // IDs of requests reported as not run
	latency   *hdrhistogram.Histogram
	details   []string // descriptions of the first violations

	edits     []acceptedEdit
	revisions map[string]int // highest revision seen by entry address

	fleet fleetState
}

const (
	maxLatencyUs = 10 * 60 * 1000 * 1000
	maxDetails   = 20
)

// New returns a checker.
func New() *Checker {
	return &Checker{
		runs: map[string]int{}, onceIDs: map[string]struct{}{}, revisions: map[string]int{},
		latency: hdrhistogram.New(1, maxLatencyUs, 3),
		fleet:   newFleetState(),
	}
}

// Revision returns the highest revision seen from an entry; callers read it before they send.
func (c *Checker) Revision(entry string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[entry]
}

// Finished records a request; seen is the entry's Revision when the request was sent.
func (c *Checker) Finished(r Request, seen int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Requests++
	if r.Once {
		c.report.OnceRequests++
		c.onceIDs[r.ID] = struct{}{}
	}
	switch r.Result {
	case ResultComplete, ResultBackendError:
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
		c.notRunIDs = append(c.notRunIDs, r.ID)
	case ResultCutOff:
		c.report.CutOff++
	}
	if r.Result != ResultComplete && r.Result != ResultNotRun {
		c.addDetail(string(r.Result) + " " + string(r.Class) + " " + r.ID + " at " + r.Entry + ": " + r.Detail)
	}
	c.checkRevision(r, seen)
}

// addDetail keeps a description while there are few; the caller holds the lock.
func (c *Checker) addDetail(s string) {
	if len(c.details) < maxDetails {
		c.details = append(c.details, s)
	}
}

// checkRevision checks the revision in a response against the one seen before and the
// accepted edits; the caller holds the lock.
func (c *Checker) checkRevision(r Request, seen int) {
	if r.Revision == 0 {
		return
	}
	if r.Revision < seen {
		c.report.ConfigReverts++
		c.addDetail("entry " + r.Entry + " returned to an earlier revision")
	}
	c.revisions[r.Entry] = max(c.revisions[r.Entry], r.Revision)
	i, _ := slices.BinarySearchFunc(c.edits, r.Revision+1, func(a acceptedEdit, revision int) int { return a.revision - revision })
	if i < len(c.edits) && r.Sent.After(c.edits[i].at) {
		c.report.ConfigInForceMs = max(c.report.ConfigInForceMs, milliseconds(r.Sent.Sub(c.edits[i].at)))
	}
}

// EditAccepted records an edit that an entry has reported as accepted.
func (c *Checker) EditAccepted(revision int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Edits++
	c.edits = append(c.edits, acceptedEdit{revision, at})
	slices.SortFunc(c.edits, func(a, b acceptedEdit) int { return a.revision - b.revision })
}

// RequestStarted implements backend.Observer.
func (c *Checker) RequestStarted(vm, service, id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	if len(c.runs) < maxTrackedRequests {
		c.runs[id]++
	}
	if afterDrain := c.fleet.requestStarted(vm, service, at); afterDrain > 0 {
		c.report.NewWorkAfterLeavingMs = max(c.report.NewWorkAfterLeavingMs, milliseconds(afterDrain))
	}
	if c.fleet.servesTwoServices(vm) {
		c.report.VMsInTwoPools++
		c.addDetail("VM " + vm + " serves two services at once")
	}
}

// StartedRequests returns the number of requests that backend servers have started.
func (c *Checker) StartedRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// RequestEnded implements backend.Observer.
func (c *Checker) RequestEnded(vm, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.requestEnded(vm, service)
}

// Power implements backend.Observer.
func (c *Checker) Power(vm string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.poweredOff[vm] = !on
	c.checkBudgets()
}

// Leaving implements backend.Observer.
func (c *Checker) Leaving(vm string, leaving bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.setDraining(vm, leaving, at)
	c.checkBudgets()
}

// Wrote implements fake.Observer.
func (c *Checker) Wrote(w platform.Write) {
	key, ok := replica.ParseRowKey(w.Key)
	if !ok {
		return
	}
	var row table.StoredRow
	if !w.Remove {
		row, _ = replica.ParseRow(w.Key, w.Value) // applyRow panics on a row that cannot be parsed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleet.applyRow(key, row, w.Remove, time.Now()) {
		c.report.Moves++
	}
	c.checkBudgets()
	if vm, ok := c.fleet.duplicateAddress(key); ok {
		c.report.VMsInTwoPools++
		c.addDetail("VM " + vm + " has the address of another VM")
	}
}

// checkBudgets counts pools that newly exceed their budget; the caller holds the lock.
func (c *Checker) checkBudgets() {
	for _, pool := range c.fleet.newlyOverBudget() {
		c.report.BudgetViolations++
		c.addDetail("pool " + pool + " exceeds its unavailability budget")
	}
}

// Report returns the counters so far.
func (c *Checker) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	for id := range c.onceIDs {
		if c.runs[id] > 1 {
			r.OnceRanTwice++
		}
	}
	for _, id := range c.notRunIDs {
		if c.runs[id] > 0 {
			r.NotRunButRan++
		}
	}
	r.BufferVMs = c.fleet.bufferSize()
	r.WaveDone, r.WaveSeconds = c.fleet.waveStatus()
	r.P50Ms = float64(c.latency.ValueAtQuantile(50)) / 1000
	r.P99Ms = float64(c.latency.ValueAtQuantile(99)) / 1000
	r.P999Ms = float64(c.latency.ValueAtQuantile(99.9)) / 1000
	return r
}

// Details returns descriptions of the first violations and backend errors.
func (c *Checker) Details() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.details)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
