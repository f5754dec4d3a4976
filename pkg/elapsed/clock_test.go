package elapsed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// clocks are a machine's, which can be suspended.
type clocks struct{ boot, steady time.Duration }

func (c *clocks) read() (boot, steady time.Duration, ok bool) { return c.boot, c.steady, true }

// TestDetector has a machine suspended, and counts that and nothing else.
func TestDetector(t *testing.T) {
	c := &clocks{boot: time.Hour, steady: time.Minute}
	d := newDetector(c.read)
	offset := d.offset.Load()
	pass := func(running, suspended time.Duration) {
		c.steady += running
		c.boot += running + suspended
		offset += int64(suspended)
		d.look(int64(c.steady-time.Minute), offset)
	}
	pass(time.Second, 0)
	qt.Check(t, time.Duration(d.total.Load()), qt.Equals, time.Duration(0))
	pass(time.Second, 7*time.Second)
	qt.Check(t, time.Duration(d.total.Load()), qt.Equals, 7*time.Second)
	pass(time.Second, 0)
	pass(0, 3*time.Second)
	qt.Check(t, time.Duration(d.total.Load()), qt.Equals, 10*time.Second)
	offset += int64(time.Hour) // the time of day is set
	pass(time.Second, 0)
	qt.Check(t, time.Duration(d.total.Load()), qt.Equals, 10*time.Second)
}

// TestNoBootClock goes by the steady clock where there is no other.
func TestNoBootClock(t *testing.T) {
	d := newDetector(func() (time.Duration, time.Duration, bool) { return 0, 0, false })
	qt.Check(t, d.suspendedAt(time.Now()), qt.Equals, time.Duration(0))
}

// TestBootClockAdvances sees that this system's boot clock goes on beside the steady one.
func TestBootClockAdvances(t *testing.T) {
	boot, steady, ok := readClocks()
	qt.Assert(t, ok, qt.IsTrue)
	time.Sleep(20 * time.Millisecond)
	boot2, steady2, ok := readClocks()
	qt.Assert(t, ok, qt.IsTrue)
	gained := (boot2 - boot) - (steady2 - steady)
	qt.Check(t, max(gained, -gained) < 2*jitter, qt.IsTrue, qt.Commentf("%v against %v", boot2-boot, steady2-steady))
	var ts unix.Timespec
	qt.Check(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts), qt.IsNil)
}

// TestClock adds suspensions to the steady clock.
func TestClock(t *testing.T) {
	steady, suspended := time.Second, 2*time.Second
	c := New(WithSource(func() time.Duration { return steady }, func() time.Duration { return suspended }))
	qt.Check(t, c.Now(), qt.Equals, 3*time.Second)
}

// BenchmarkNow states what a reading costs: 45 ns with time.Since alone, with suspensions
// about twice that, no allocation on either.
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
