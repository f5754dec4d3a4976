package elapsed

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// recheck is the longest time between two readings of the boot clock. A reading is two
	// calls of the system, which Now, called for each order, would pay each time.
	recheck = 100 * time.Millisecond
	// noticed is by how much the time of day has to move against the steady clock for the
	// boot clock to be read at once: a suspension moves it, as does a clock that is set.
	noticed = 5 * time.Millisecond
	// jitter bounds the time between the readings of two clocks that are compared.
	jitter = time.Millisecond
	// readings is how often a pair of readings is tried that something came between.
	readings = 3
)

// machine tells of this machine's suspensions.
var machine = newDetector(readClocks)

// detector finds suspensions: by them the boot clock gains on the steady one.
type detector struct {
	read func() (boot, steady time.Duration, ok bool)
	base time.Time

	total  atomic.Int64 // nanoseconds of suspension so far
	offset atomic.Int64 // of the time of day against the steady clock, at the last reading
	readAt atomic.Int64 // steady time of the last reading

	mu    sync.Mutex
	began time.Duration // boot clock less steady clock at the first reading
	known bool
}

func newDetector(read func() (boot, steady time.Duration, ok bool)) *detector {
	d := &detector{read: read, base: time.Now()}
	d.look(0, d.base.UnixNano())
	return d
}

// suspendedAt is for how long the machine was suspended since the detector was made, at a
// time that was read just now.
func (d *detector) suspendedAt(t time.Time) time.Duration {
	steady := int64(t.Sub(d.base))
	offset := t.UnixNano() - steady
	moved, since := offset-d.offset.Load(), steady-d.readAt.Load()
	if max(moved, -moved) >= int64(noticed) || since >= int64(recheck) || since < 0 {
		d.look(steady, offset)
	}
	return time.Duration(d.total.Load())
}

// look reads the boot clock.
func (d *detector) look(steady, offset int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readAt.Store(steady)
	d.offset.Store(offset)
	boot, clock, ok := d.read()
	if !ok {
		return
	}
	gained := boot - clock
	if !d.known {
		d.known, d.began = true, gained
		return
	}
	if total := gained - d.began; total-time.Duration(d.total.Load()) >= noticed {
		d.total.Store(int64(total))
	}
}

// readClocks reads the boot clock and the steady clock as if at one moment; ok is false
// where the system has no boot clock.
func readClocks() (boot, steady time.Duration, ok bool) {
	for range readings {
		var before, b, after unix.Timespec
		err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &before)
		if err == nil {
			err = unix.ClockGettime(unix.CLOCK_BOOTTIME, &b)
		}
		if err == nil {
			err = unix.ClockGettime(unix.CLOCK_MONOTONIC, &after)
		}
		if err != nil {
			return 0, 0, false
		}
		if took := time.Duration(after.Nano() - before.Nano()); took <= jitter {
			return time.Duration(b.Nano()), time.Duration(before.Nano()) + took/2, true
		}
	}
	return 0, 0, false
}
