package elapsed

import "time"

// Clock tells the time that has passed since it was made.
type Clock struct {
	origin    time.Time
	before    time.Duration // suspensions before the clock was made
	steady    func() time.Duration
	suspended func() time.Duration
}

// Option changes what a clock reads.
type Option func(*Clock)

// WithSource has the clock read another steady clock, and ask suspended for how long the
// machine was suspended so far.
func WithSource(steady, suspended func() time.Duration) Option {
	return func(c *Clock) { c.steady, c.suspended = steady, suspended }
}

// WithOrigin has the clock count from another time than now.
func WithOrigin(t time.Time) Option { return func(c *Clock) { c.origin = t } }

// New returns a clock that starts now.
func New(opts ...Option) *Clock {
	now := time.Now()
	c := &Clock{origin: now, before: machine.suspendedAt(now)}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Now is the time since the clock was made.
func (c *Clock) Now() time.Duration {
	if c.steady != nil {
		steady := c.steady() // first: a suspension between the two readings counts
		return steady + c.suspended()
	}
	t := time.Now()
	return t.Sub(c.origin) + machine.suspendedAt(t) - c.before
}

// Suspended is for how long this machine was suspended since the process began, 0 where
// the system can't tell.
func Suspended() time.Duration { return machine.suspendedAt(time.Now()) }
