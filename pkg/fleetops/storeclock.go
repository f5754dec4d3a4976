package fleetops

import "time"

// storeClock is what this entry knows of the table service's steady clock: the
// time in an answer lies between the call's sending and the answer's arrival.
type storeClock struct {
	read     time.Duration // the service's time in the answer
	sent     time.Duration // on our clock
	received time.Duration // on our clock
}

// latest is the greatest time that the service's clock may show at a moment of ours.
func (c storeClock) latest(now time.Duration) time.Duration { return c.read + now - c.sent }

// earliest is the least time that it may show.
func (c storeClock) earliest(now time.Duration) time.Duration { return c.read + now - c.received }

// fresh tells whether the bounds are near enough to each other and young enough
// for two clocks not to have drifted apart.
func (c storeClock) fresh(now time.Duration) bool {
	return c.received > 0 && now-c.received < clockFresh && c.received-c.sent < orderWindow/2
}

// clockFresh is for how long the service's clock is computed from one answer:
// clocks that differ by 100 parts in a million part by a millisecond in that time.
const clockFresh = 10 * time.Second
