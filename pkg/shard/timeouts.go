package shard

import "time"

// callTimeouts are the times for which calls to workers may go unanswered.
type callTimeouts struct {
	order time.Duration // an order
	poll  time.Duration // a poll, beyond the time that it waits at the worker
	wait  time.Duration // how long a worker may delay its answer to a poll until an attempt ends
	// lossCountedAfter is the number of consecutive unanswered calls after which a worker's loss is
	// counted against its tasks. The loss is not certain then and is retracted if the boot answers
	// again, but it is recorded early, in case this owner is lost too.
	lossCountedAfter int
}

var (
	usualTimeouts = callTimeouts{order: orderTimeout, poll: pollTimeout, wait: pollWait, lossCountedAfter: 2}
	// shortTimeouts exceed the usual answer time of 4 ms many times.
	shortTimeouts = callTimeouts{order: 80 * time.Millisecond, poll: 150 * time.Millisecond, wait: 250 * time.Millisecond, lossCountedAfter: 4}
)

const (
	// startsWindow is the longest time over which starts are counted.
	startsWindow = 1500 * time.Millisecond
	// shortTimeoutsTime is how long timeouts are short before starts are counted again with usual ones,
	// which late answers can meet.
	shortTimeoutsTime = 5 * time.Second
	// minLostStarts is the least number of lost starts in a window that calls for short timeouts, and
	// lostStartShare their least share.
	minLostStarts  = 5
	lostStartShare = 0.05
	// lateAnswer is the time from which on an answer is late: short timeouts would soon miss some.
	lateAnswer = 20 * time.Millisecond
	// maxLateShare is the largest share of late answers with which timeouts may be short, and
	// lateSmoothing the weight of the newest answer in the average.
	maxLateShare  = 0.1
	lateSmoothing = 1.0 / 32
)

// timeoutPolicy chooses the timeouts of calls to workers. While many starts are lost though the others are
// answered fast, to wait for the lost ones costs more than to repeat some: a worker gets no other start
// before the outcome is known.
type timeoutPolicy struct {
	short       bool
	windowStart time.Duration // when the present window or the short timeouts began

	answered int // orders answered in the window
	lost     int // starts in the window that live workers have not carried out

	lateShare float64 // of late answers, moving average
}

// current returns the present timeouts.
func (p *timeoutPolicy) current() callTimeouts {
	if p.short {
		return shortTimeouts
	}
	return usualTimeouts
}

// noteAnswer records the answer to an order.
func (p *timeoutPolicy) noteAnswer(took time.Duration) {
	p.answered++
	late := 0.0
	if took > lateAnswer {
		late = 1
	}
	p.lateShare += lateSmoothing * (late - p.lateShare)
}

// noteLost records a start that a worker which answers has not carried out.
func (p *timeoutPolicy) noteLost() { p.lost++ }

// update chooses the timeouts, and reports whether they changed; saturated reports that the owner is at
// its limit.
func (p *timeoutPolicy) update(now time.Duration, saturated bool) (changed bool) {
	length := startsWindow
	if p.short {
		length = shortTimeoutsTime
	}
	over := now-p.windowStart >= length
	tooSlow := saturated || p.lateShare > maxLateShare
	changed = p.short && (over || tooSlow) || !p.short && !tooSlow && p.losesMany()
	if changed {
		p.short = !p.short
	}
	if changed || over {
		p.windowStart, p.answered, p.lost = now, 0, 0
	}
	return changed
}

// losesMany reports whether many starts were lost in the window.
func (p *timeoutPolicy) losesMany() bool {
	return p.lost >= minLostStarts && float64(p.lost) >= lostStartShare*float64(p.answered+p.lost)
}
