package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// minColdRuns is how many tasks must have run on slow workers before their speed counts as known.
	minColdRuns = 8
	// coldDecay is the weight that earlier runs keep with each further one.
	coldDecay = 0.95
	// minColdSpeed bounds the estimate.
	minColdSpeed = 0.05
	// harmlessColdSpeed is the known speed from which cold workers are used like others.
	harmlessColdSpeed = 0.95
	// toleratedColdSpeed is the speed down to which a task on a slow worker is not taken for stalled
	// while the speed is unknown.
	toleratedColdSpeed = 0.25
	// maxEntryAge bounds the age of a directory entry; none counts as cold for as long.
	maxEntryAge = time.Hour
)

// coldPeriod is a time in which a worker is cold: it runs tasks slowly after a start. Times are on the
// entry's clock.
type coldPeriod struct {
	from  time.Duration
	until time.Duration // at most from if there is none
}

// contains reports whether the worker is cold at a time.
func (p coldPeriod) contains(at time.Duration) bool { return p.from <= at && at < p.until }

// overlap returns how much of a time span falls into the period.
func (p coldPeriod) overlap(start, end time.Duration) time.Duration {
	return max(0, min(end, p.until)-max(start, p.from))
}

// updateCold derives the cold period from the worker's directory entry, read at s.infoReadAt. The
// entry may be old: the worker's clock tells when it was written.
func (s *session) updateCold() {
	if s.info.ColdLeft == 0 {
		s.cold.until = min(s.cold.until, s.infoReadAt)
		return
	}
	writtenAt := s.infoReadAt
	if s.clockAt > 0 && s.info.ClockMs != platform.ClockUnknown {
		limit := maxEntryAge.Milliseconds()
		ageMs := max(-limit, min(limit, s.clockMs-s.info.ClockMs)) // at clockAt
		writtenAt = min(writtenAt, s.clockAt-time.Duration(ageMs)*time.Millisecond)
	}
	if !s.cold.contains(writtenAt) {
		s.cold.from = writtenAt
	}
	s.cold.until = writtenAt + s.info.ColdLeft
}

// noteCold applies a directory entry as far as it tells that the worker is cold, and logs that once per
// boot.
func (o *Owner) noteCold(s *session, now time.Duration) {
	s.infoReadAt = now
	s.updateCold()
	if s.coldLogged || !s.cold.contains(now) {
		return
	}
	s.coldLogged = true
	o.log.Info().Str("event", "worker_cold").Str("boot", s.ref.Boot).Str("vm", s.vm).Str("zone", s.info.Zone).
		Dur("left", s.cold.until-now).Send()
}

// coldSpeed estimates how fast cold workers run tasks, as a fraction of the speed of others.
type coldSpeed struct {
	count int
	ran   float64 // seconds that tasks ran on cold workers, decayed
	done  float64 // seconds that the same work takes on others, decayed
}

// observe adds a task that ran for a time on a cold worker and did work in it, measured by how long it
// takes on others.
func (c *coldSpeed) observe(ran, work time.Duration) {
	c.count++
	c.ran = coldDecay*c.ran + ran.Seconds()
	c.done = coldDecay*c.done + work.Seconds()
}

// get returns the speed, at most 1; known is false while too few tasks have been observed.
func (c *coldSpeed) get() (speed float64, known bool) {
	if c.count < minColdRuns {
		return 1, false
	}
	return min(1, max(minColdSpeed, c.done/c.ran)), true
}

// slow reports whether others are to be preferred to cold workers.
func (c *coldSpeed) slow() bool {
	speed, known := c.get()
	return !known || speed < harmlessColdSpeed
}

// workDone returns the work of a task that ran for a time, of which it was on a cold worker for some.
func workDone(ran, cold time.Duration, speed float64) time.Duration {
	return ran - cold + time.Duration(float64(cold)*speed)
}

// coldDelay returns how much longer work takes on a worker that stays cold for a time.
func coldDelay(work, coldLeft time.Duration, speed float64) time.Duration {
	whole := float64(work) * (1/speed - 1)
	return time.Duration(max(0, min(whole, float64(coldLeft)*(1-speed))))
}

// observeCold learns the speed of cold workers from a task that has ended, if it ran mostly on a cold
// one and the duration of such tasks on others is known.
func (o *Owner) observeCold(ds *durationStats, hint, ran, cold time.Duration) {
	if cold < ran/2 || ds == nil || ds.count < minDurations {
		return
	}
	_, before := o.coldSpeed.get()
	o.coldSpeed.observe(cold, max(0, ds.expected(hint)-(ran-cold)))
	if speed, known := o.coldSpeed.get(); known && !before {
		o.log.Info().Str("event", "cold_speed_known").Float64("speed", speed).Int("tasks", o.coldSpeed.count).Send()
	}
}
