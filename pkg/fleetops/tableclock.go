package fleetops

import "time"

// tableClock bounds the table service's monotonic clock by one answer: the service read its clock
// between the sending of the request and the receipt of the answer.
type tableClock struct {
	serverTime time.Duration // the service's time in the answer
	sent       time.Duration // on the local clock
	received   time.Duration // on the local clock
}

// latest returns the upper bound of the service's clock at a local time.
func (c tableClock) latest(now time.Duration) time.Duration { return c.serverTime + now - c.sent }

// earliest returns the lower bound of the service's clock at a local time.
func (c tableClock) earliest(now time.Duration) time.Duration { return c.serverTime + now - c.received }

// fresh reports whether the bounds are close together and recent enough to ignore clock drift.
func (c tableClock) fresh(now time.Duration) bool {
	return c.received > 0 && now-c.received < maxClockAge && c.received-c.sent < orderWindow/2
}

// maxClockAge limits the drift between the clocks: at 100 ppm it is 1 ms.
const maxClockAge = 10 * time.Second
