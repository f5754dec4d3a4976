package elapsed

import "time"

// Clock measures the time since its creation, suspensions included.
type Clock struct {
	origin          time.Time
	suspendedBefore time.Duration // suspension time before the clock was created
	monotonic       func() time.Duration
	suspended       func() time.Duration
}

// Option configures a [Clock].
type Option func(*Clock)

// WithSource replaces the sources of the monotonic time and of the total suspension time.
func WithSource(monotonic, suspended func() time.Duration) Option {
	return func(c *Clock) { c.monotonic, c.suspended = monotonic, suspended }
}

// WithOrigin sets the time that the clock counts from.
func WithOrigin(t time.Time) Option { return func(c *Clock) { c.origin = t } }

// New returns a clock that counts from now.
func New(opts ...Option) *Clock {
	now := time.Now()
	c := &Clock{origin: now, suspendedBefore: systemDetector.suspendedAt(now)}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Now returns the time since the clock's origin.
func (c *Clock) Now() time.Duration {
	if c.monotonic != nil {
		monotonic := c.monotonic() // read first, so that a suspension between the two reads counts
		return monotonic + c.suspended()
	}
	t := time.Now()
	return t.Sub(c.origin) + systemDetector.suspendedAt(t) - c.suspendedBefore
}

// Suspended returns for how long this machine was suspended since the process started, 0 if the
// system can't tell.
func Suspended() time.Duration { return systemDetector.suspendedAt(time.Now()) }
