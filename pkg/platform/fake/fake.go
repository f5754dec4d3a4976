package fake

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
)

// Default limits of the table, as on the users' platform.
const (
	DefaultWritesPerSecond = 100
	DefaultReadsPerSecond  = 2000
	burstSeconds           = 0.25 // of the rate
)

// Platform is the state of the fake platform, shared by all views.
type Platform struct {
	latency time.Duration
	faults  *injector
	writes  *rate.Limiter
	reads   *rate.Limiter
	table   store
	objects objects
	fleet   fleet
	tasks   tasks
}

// Option configures a Platform.
type Option func(*Platform)

// WithSeed sets the seed for the random choices of rules.
func WithSeed(seed uint64) Option { return func(p *Platform) { p.faults = newInjector(seed) } }

// WithLatency sets the delay of every call.
func WithLatency(d time.Duration) Option { return func(p *Platform) { p.latency = d } }

// WithLimits sets the table's limits of writes and reads per second; calls above them fail with ErrNotDone.
func WithLimits(writes, reads int) Option {
	return func(p *Platform) {
		p.writes = limiter(writes)
		p.reads = limiter(reads)
	}
}

// WithListLag sets how old the states in the VM list are.
func WithListLag(d time.Duration) Option { return func(p *Platform) { p.fleet.lag = d } }

// WithReportLag sets the maximum age of a worker's task report.
func WithReportLag(d time.Duration) Option { return func(p *Platform) { p.tasks.lag = d } }

// WithRebootTime sets how long a reboot takes.
func WithRebootTime(d time.Duration) Option { return func(p *Platform) { p.fleet.rebootTime = d } }

// WithVMRuntime sets the simulation of what runs on the VMs.
func WithVMRuntime(m VMRuntime) Option { return func(p *Platform) { p.fleet.runtime = m } }

// WithObserver notifies o of every write that takes effect.
func WithObserver(o Observer) Option { return func(p *Platform) { p.table.observer = o } }

func limiter(perSecond int) *rate.Limiter {
	burst := max(1, int(float64(perSecond)*burstSeconds))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// New returns an empty Platform.
func New(opts ...Option) *Platform {
	p := &Platform{
		faults: newInjector(1),
		writes: limiter(DefaultWritesPerSecond),
		reads:  limiter(DefaultReadsPerSecond),
	}
	p.table.init()
	p.objects.init()
	p.fleet.init()
	p.tasks.init()
	for _, o := range opts {
		o(p)
	}
	return p
}

// SetRules replaces the rules in force.
func (p *Platform) SetRules(rules ...Rule) { p.faults.set(rules) }

// Calls returns how often an operation was called.
func (p *Platform) Calls(op rest.Operation) int {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	return p.faults.calls[op]
}

// limit refuses table calls above the rate limit.
func (p *Platform) limit(op rest.Operation) error {
	l := p.reads
	switch op {
	case rest.OpCommit:
		l = p.writes
	case rest.OpGet, rest.OpScan:
	default:
		return nil
	}
	if !l.Allow() {
		return platform.ErrNotDone{Op: string(op), Cause: "the table's rate limit is reached", RetryAfter: time.Second}
	}
	return nil
}

// view is the platform as one availability zone sees it.
type view struct {
	p    *Platform
	zone string
}

// View returns the platform as one availability zone sees it.
func (p *Platform) View(zone string) platform.Platform { return &view{p: p, zone: zone} }
