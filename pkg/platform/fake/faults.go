package fake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
)

// Fault is a failure injected into a call.
type Fault string

// The faults of any call; see also [FaultLate] and [FaultRefused].
const (
	FaultNone       Fault = ""
	FaultDown       Fault = "down"        // the call fails with ErrNotDone and has no effect
	FaultLostBefore Fault = "lost-before" // no effect and no answer
	FaultLostAfter  Fault = "lost-after"  // the call takes effect, but its answer is lost
	FaultSlow       Fault = "slow"        // the call is delayed by Rule.DelayMs
)

// Faults returns the faults that a [Rule] can inject.
func Faults() []Fault { return []Fault{FaultDown, FaultLostBefore, FaultLostAfter, FaultSlow} }

// Rule injects a fault into matching calls.
type Rule struct {
	Op      rest.Operation `json:"op"`   // empty matches every operation
	Zone    string         `json:"zone"` // of the caller, empty matches every zone
	Fault   Fault          `json:"fault"`
	DelayMs int            `json:"delay_ms"` // for FaultSlow
	Chance  float64        `json:"chance"`   // probability per call, 0 for always
	Skip    int            `json:"skip"`     // matching calls that pass before the first fault
	Count   int            `json:"count"`    // number of faults to inject, 0 for no limit
}

// injector selects the fault of each call.
type injector struct {
	mu      sync.Mutex
	rng     *rand.Rand
	rules   []Rule
	fired   []int // number of faults injected, by rule
	matched []int // number of calls matched, by rule
	calls   map[rest.Operation]int
}

func newInjector(seed uint64) *injector {
	return &injector{rng: rand.New(rand.NewPCG(seed, seed)), calls: map[rest.Operation]int{}}
}

func (in *injector) set(rules []Rule) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.rules = append([]Rule(nil), rules...)
	in.fired = make([]int, len(rules))
	in.matched = make([]int, len(rules))
}

// decide counts the call and returns the fault and the delay to inject.
func (in *injector) decide(op rest.Operation, zone string) (f Fault, delay time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.calls[op]++
	for i, r := range in.rules {
		if r.Op != "" && r.Op != op || r.Zone != "" && r.Zone != zone {
			continue
		}
		in.matched[i]++
		if in.matched[i] <= r.Skip || r.Count > 0 && in.fired[i] >= r.Count {
			continue
		}
		if r.Chance > 0 && in.rng.Float64() >= r.Chance {
			continue
		}
		in.fired[i]++
		if r.Fault == FaultSlow {
			delay += time.Duration(r.DelayMs) * time.Millisecond
			continue
		}
		return r.Fault, delay
	}
	return FaultNone, delay
}

// call runs effect as one call under the rules and limits.
func (v *view) call(ctx context.Context, op rest.Operation, effect func() error) error {
	fault, delay := v.p.faults.decide(op, v.zone)
	if err := pause.For(ctx, v.p.latency+delay); err != nil {
		return platform.ErrNotDone{Op: string(op), Cause: err.Error()}
	}
	if err := v.p.limit(op); err != nil {
		return err
	}
	switch fault {
	case FaultDown:
		return platform.ErrNotDone{Op: string(op), Cause: "the platform is down"}
	case FaultLostBefore:
		return lostError(op, "the connection broke")
	}
	err := effect()
	if fault == FaultLostAfter && err == nil {
		return lostError(op, "the answer was lost")
	}
	return err
}

// lostError is the error for a call without an answer; a read never has an effect.
func lostError(op rest.Operation, cause string) error {
	if op.Writes() {
		return platform.ErrUnknown{Op: string(op), Cause: cause}
	}
	return platform.ErrNotDone{Op: string(op), Cause: cause}
}
