package elapsed

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// recheckInterval bounds the time between two reads of the boot-time clock. Each read takes
	// several system calls, too many for every call of Now.
	recheckInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension that is detected. A wall clock that moves that far
	// against the monotonic clock causes a read of the boot-time clock at once.
	minSuspension = 5 * time.Millisecond
	// maxReadTime bounds the time between the reads of two clocks that are compared.
	maxReadTime = time.Millisecond
	// readAttempts bounds the retries when a read takes longer than maxReadTime.
	readAttempts = 3
)

// systemDetector detects suspensions of this machine.
var systemDetector = newSuspensionDetector(readClocks)

// suspensionDetector measures suspensions by how far the boot-time clock advances against the
// monotonic clock, which stops during them.
type suspensionDetector struct {
	readClocks func() (boot, monotonic time.Duration, ok bool)
	base       time.Time // origin of the monotonic times

	total  atomic.Int64 // total suspension time in ns
	offset atomic.Int64 // wall clock minus monotonic time in ns, at the last read
	readAt atomic.Int64 // monotonic time of the last read in ns

	mu          sync.Mutex
	baseline    time.Duration // boot-time clock minus monotonic clock at the first read
	initialized bool
}

func newSuspensionDetector(read func() (boot, monotonic time.Duration, ok bool)) *suspensionDetector {
	d := &suspensionDetector{readClocks: read, base: time.Now()}
	d.update(0, d.base.UnixNano())
	return d
}

// suspendedAt returns the total suspension time up to t, a wall-clock time read just now.
func (d *suspensionDetector) suspendedAt(t time.Time) time.Duration {
	monotonic := int64(t.Sub(d.base))
	offset := t.UnixNano() - monotonic
	moved, since := offset-d.offset.Load(), monotonic-d.readAt.Load()
	if max(moved, -moved) >= int64(minSuspension) || since >= int64(recheckInterval) || since < 0 {
		d.update(monotonic, offset)
	}
	return time.Duration(d.total.Load())
}

// update reads the boot-time clock and updates the total.
func (d *suspensionDetector) update(monotonic, offset int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readAt.Store(monotonic)
	d.offset.Store(offset)
	boot, mono, ok := d.readClocks()
	if !ok {
		return
	}
	gained := boot - mono
	if !d.initialized {
		d.initialized, d.baseline = true, gained
		return
	}
	if total := gained - d.baseline; total-time.Duration(d.total.Load()) >= minSuspension {
		d.total.Store(int64(total))
	}
}

// readClocks reads the boot-time clock and the monotonic clock at nearly the same time; ok
// is false if the system has no boot-time clock or each attempt took too long.
func readClocks() (boot, monotonic time.Duration, ok bool) {
	for range readAttempts {
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
		if took := time.Duration(after.Nano() - before.Nano()); took <= maxReadTime {
			return time.Duration(b.Nano()), time.Duration(before.Nano()) + took/2, true
		}
	}
	return 0, 0, false
}
