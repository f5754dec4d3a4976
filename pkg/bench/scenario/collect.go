package scenario

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gannetwell/gannetwell/pkg/bench/checker"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// ClassResult holds the results of one request class.
type ClassResult struct {
	Requests    int     `json:"requests"`
	Good        int     `json:"good"`
	Shed        int     `json:"shed"`
	P50Ms       float64 `json:"p50_ms"`
	P99Ms       float64 `json:"p99_ms"`
	SteadyP99Ms float64 `json:"steady_p99_ms"`
}

// Point holds the counts of one second of a run.
type Point struct {
	Second float64 `json:"second"`
	Good   int     `json:"good"`
	Shed   int     `json:"shed"`
}

// Bucket is a quantile, in percent, of the latency distribution.
type Bucket struct {
	Ms       float64 `json:"ms"`
	Quantile float64 `json:"quantile"`
}

const maxLatencyUs = 60 * 1000 * 1000

// class collects the results of one request class in one phase.
type class struct {
	requests, good, shed int
	latency              *hdrhistogram.Histogram
}

// phase collects the results of one phase.
type phase struct {
	classes map[schema.Class]*class
	all     *hdrhistogram.Histogram
}

func newPhase() *phase {
	return &phase{classes: map[schema.Class]*class{}, all: hdrhistogram.New(1, maxLatencyUs, 3)}
}

func (p *phase) class(name schema.Class) *class {
	c, ok := p.classes[name]
	if !ok {
		c = &class{latency: hdrhistogram.New(1, maxLatencyUs, 3)}
		p.classes[name] = c
	}
	return c
}

func (p *phase) add(r checker.Request) {
	c := p.class(r.Class)
	c.requests++
	switch r.Result {
	case checker.ResultComplete:
		c.good++
		if r.Class == schema.ClassLive {
			return // the stream sets the duration of a live exchange
		}
		us := max(1, r.Done.Sub(r.Sent).Microseconds())
		_ = c.latency.RecordValue(us)
		_ = p.all.RecordValue(us)
	case checker.ResultNotRun:
		c.shed++
	}
}

// collector assigns results to phases by the time at which the request was sent. It
// forwards them to the checker, except cut-off exchanges that a fault explains.
type collector struct {
	checker *checker.Checker

	mu            sync.Mutex
	faultStart    time.Time // zero before the fault phase
	faultTimes    []time.Time
	steady        *phase
	fault         *phase
	cutOffByFault int
	notRunReasons map[string]int // counts of the fault phase, by reason
	timeline      map[int]*Point
	runStart      time.Time
	closed        bool
}

func newCollector(c *checker.Checker) *collector {
	return &collector{checker: c, steady: newPhase(), fault: newPhase(), timeline: map[int]*Point{}, notRunReasons: map[string]int{}, runStart: time.Now()}
}

// detectionWindow is the time allowed for detecting a fault.
const detectionWindow = 2 * time.Second

// recordFault records the current time as that of a fault.
func (c *collector) recordFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultTimes = append(c.faultTimes, time.Now())
}

// explainedByFault reports whether a fault happened during the request or less than
// detectionWindow before it was sent; the caller holds the lock.
func (c *collector) explainedByFault(r checker.Request) bool {
	for _, f := range c.faultTimes {
		if r.Done.After(f) && r.Sent.Before(f.Add(detectionWindow)) {
			return true
		}
	}
	return false
}

// Revision implements load.Sink.
func (c *collector) Revision(entry string) int { return c.checker.Revision(entry) }

// Finished implements load.Sink.
func (c *collector) Finished(r checker.Request, seen int) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	second := int(r.Done.Sub(c.runStart).Seconds())
	point, ok := c.timeline[second]
	if !ok {
		point = &Point{Second: float64(second)}
		c.timeline[second] = point
	}
	switch r.Result {
	case checker.ResultComplete:
		point.Good++
	case checker.ResultNotRun:
		point.Shed++
	}
	p := c.steady
	if !c.faultStart.IsZero() && r.Sent.After(c.faultStart) {
		p = c.fault
		if r.Result == checker.ResultNotRun {
			c.notRunReasons[r.Detail]++
		}
	}
	p.add(r)
	byFault := r.Result == checker.ResultCutOff && c.explainedByFault(r)
	if byFault {
		c.cutOffByFault++
	}
	c.mu.Unlock()
	if !byFault {
		c.checker.Finished(r, seen)
	}
}

// beginFaultPhase ends the steady phase and starts the fault phase.
func (c *collector) beginFaultPhase() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultStart = time.Now()
}
