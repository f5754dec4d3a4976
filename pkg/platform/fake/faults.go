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

// Fault is what goes wrong with a call.
type Fault string

// The faults.
const (
	FaultNone       Fault = ""
	FaultDown       Fault = "down"        // the call is refused before it has any effect
	FaultLostBefore Fault = "lost-before" // no answer, no effect
	FaultLostAfter  Fault = "lost-after"  // the effect, but no answer
	FaultSlow       Fault = "slow"        // the call takes longer by Rule.DelayMs
)

// Faults returns every fault.
func Faults() []Fault { return []Fault{FaultDown, FaultLostBefore, FaultLostAfter, FaultSlow} }

// Rule brings a fault about for some calls.
type Rule struct {
	Op      rest.Operation `json:"op"`       // empty for every operation
	Zone    string         `json:"zone"`     // of the caller, empty for every zone
	Fault   Fault          `json:"fault"`    // what goes wrong
	DelayMs int            `json:"delay_ms"` // for FaultSlow
	Chance  float64        `json:"chance"`   // of each call, 0 means always
	Skip    int            `json:"skip"`     // calls that pass before the first fault
	Count   int            `json:"count"`    // faults until the rule is spent, 0 for no end
}

// injector decides about each call.
type injector struct {
	mu      sync.Mutex
	rng     *rand.Rand
	rules   []Rule
	fired   []int // faults that each rule has brought about
	matched []int // calls that each rule has matched
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

// decide returns the fault of one call and its delay.
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

// call carries out one call under the rules and limits.
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

// lostError is what a client learns when no answer comes: a read never has an effect.
func lostError(op rest.Operation, cause string) error {
	if op.Writes() {
		return platform.ErrUnknown{Op: string(op), Cause: cause}
	}
	return platform.ErrNotDone{Op: string(op), Cause: cause}
}
