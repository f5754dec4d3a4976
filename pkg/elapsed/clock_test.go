package elapsed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// fakeClocks are the clocks of a machine that can be suspended.
type fakeClocks struct{ boot, mono time.Duration }

func (c *fakeClocks) read() (boot, mono time.Duration, ok bool) { return c.boot, c.mono, true }

// TestSuspensionDetector checks that suspensions are counted, and changes of the wall clock are
// not.
func TestSuspensionDetector(t *testing.T) {
	c := &fakeClocks{boot: time.Hour, mono: time.Minute}
	d := newSuspensionDetector(c.read)
	offset := d.offset.Load()
	advance := func(running, suspended time.Duration) {
		c.mono += running
		c.boot += running + suspended
		offset += int64(suspended)
		d.update(int64(c.mono-time.Minute), offset)
	}
	advance(time.Second, 0)
	qt.Check(t, time.Duration(d.total.Load()), qt.Equals, time.Duration(0))
	advance(time.Second, 7*time.Second)
	qt.Check(t, time.Duration(d.total.Load()), qt.Equals, 7*time.Second)
	advance(time.Second, 0)
	advance(0, 3*time.Second)
	qt.Check(t, time.Duration(d.total.Load()), qt.Equals, 10*time.Second)
	offset += int64(time.Hour) // the wall clock is set
	advance(time.Second, 0)
	qt.Check(t, time.Duration(d.total.Load()), qt.Equals, 10*time.Second)
}

// TestNoBootClock checks that no suspension is reported on a system without a boot-time clock.
func TestNoBootClock(t *testing.T) {
	d := newSuspensionDetector(func() (time.Duration, time.Duration, bool) { return 0, 0, false })
	qt.Check(t, d.suspendedAt(time.Now()), qt.Equals, time.Duration(0))
}

// TestBootClockAdvances checks that this system's boot-time clock advances with the monotonic
// clock.
func TestBootClockAdvances(t *testing.T) {
	boot, monotonic, ok := readClocks()
	qt.Assert(t, ok, qt.IsTrue)
	time.Sleep(20 * time.Millisecond)
	boot2, monotonic2, ok := readClocks()
	qt.Assert(t, ok, qt.IsTrue)
	gained := (boot2 - boot) - (monotonic2 - monotonic)
	qt.Check(t, max(gained, -gained) < 2*maxReadTime, qt.IsTrue, qt.Commentf("%v against %v", boot2-boot, monotonic2-monotonic))
	var ts unix.Timespec
	qt.Check(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts), qt.IsNil)
}

// TestClock checks that suspensions are added to the monotonic time.
func TestClock(t *testing.T) {
	monotonic, suspended := time.Second, 2*time.Second
	c := New(WithSource(func() time.Duration { return monotonic }, func() time.Duration { return suspended }))
	qt.Check(t, c.Now(), qt.Equals, 3*time.Second)
}

// BenchmarkNow compares a read of the clock with time.Since; neither should allocate.
func BenchmarkNow(b *testing.B) {
	b.Run("since", func(b *testing.B) {
		origin := time.Now()
		b.ReportAllocs()
		for range b.N {
			_ = time.Since(origin)
		}
	})
	b.Run("elapsed", func(b *testing.B) {
		c := New()
		b.ReportAllocs()
		for range b.N {
			_ = c.Now()
		}
	})
}
