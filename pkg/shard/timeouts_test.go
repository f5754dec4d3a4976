package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Timeouts are short only while many starts are lost and the others are answered fast, as they would not be
// if the owner, its link or the workers were slow.
func TestTimeoutPolicy(t *testing.T) {
	for name, tc := range map[string]struct {
		fast, slow, lost int // slow answers come last
		saturated, short bool
	}{
		"many lost":                  {fast: 100, lost: 30, short: true},
		"few lost":                   {fast: 10, lost: 4},
		"a small share lost":         {fast: 400, lost: 20},
		"the last answers are slow":  {fast: 300, slow: 5, lost: 30},
		"hardly any answer is slow":  {fast: 96, slow: 2, lost: 30, short: true},
		"all lost":                   {lost: 30, short: true},
		"the owner is at its limit":  {fast: 100, lost: 30, saturated: true},
		"nothing lost":               {fast: 100},
		"nothing lost and all slow":  {slow: 100},
		"nothing sent in the window": {},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var p timeoutPolicy
			noteAnswers(&p, tc.fast, 4*time.Millisecond)
			noteAnswers(&p, tc.slow, lateAnswer+1)
			for range tc.lost {
				p.noteLost()
			}
			c.Check(p.update(time.Second, tc.saturated), qt.Equals, tc.short)
			c.Check(p.short, qt.Equals, tc.short)
		})
	}
}

func noteAnswers(p *timeoutPolicy, n int, took time.Duration) {
	for range n {
		p.noteAnswer(took)
	}
}

// Short timeouts end at once when the owner gets slow.
func TestTimeoutsOfSlowOwner(t *testing.T) {
	for _, saturated := range []bool{false, true} {
		c := qt.New(t)
		p := timeoutPolicy{short: true, windowStart: time.Second}
		noteAnswers(&p, 100, 4*time.Millisecond)
		c.Check(p.update(2*time.Second, false), qt.IsFalse)
		if !saturated {
			noteAnswers(&p, 5, lateAnswer+1)
		}
		c.Check(p.update(2*time.Second+1, saturated), qt.IsTrue)
		c.Check(p.current(), qt.Equals, usualTimeouts)
	}
}

// Short timeouts end by themselves, so that starts are counted again with usual ones.
func TestUsualTimeoutsReturn(t *testing.T) {
	c := qt.New(t)
	p := timeoutPolicy{windowStart: time.Second}
	lose := func() {
		for range minLostStarts {
			p.noteLost()
		}
	}
	lose()
	now := 2 * time.Second
	c.Assert(p.update(now, false), qt.IsTrue)
	lose()
	c.Check(p.update(now+shortTimeoutsTime-1, false), qt.IsFalse)
	c.Check(p.current(), qt.Equals, shortTimeouts)
	now += shortTimeoutsTime
	c.Check(p.update(now, false), qt.IsTrue)
	c.Check(p.current(), qt.Equals, usualTimeouts)
	c.Check(p.update(now+1, false), qt.IsFalse, qt.Commentf("what was lost before does not count"))
	lose()
	p.lost--
	c.Check(p.update(now+startsWindow, false), qt.IsFalse)
	p.noteLost()
	c.Check(p.update(now+startsWindow+1, false), qt.IsFalse, qt.Commentf("the others were lost in an earlier window"))
	lose()
	c.Check(p.update(now+startsWindow+2, false), qt.IsTrue)
}
