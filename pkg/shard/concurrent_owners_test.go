package shard_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// concurrentOwners has a shard taken over from an owner that goes on, while a worker restarts and so
// knows neither owner's token.
func concurrentOwners(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newRestartScenario(t, inject)
		e := m.e
		defer e.close()
		m.takeOver()
		m.pause(1, 1000, "quiet")
		for range rapid.IntRange(1, 2).Draw(t, "takeovers") {
			for range rapid.IntRange(1, 3).Draw(t, "jobs") {
				m.submitChain()
			}
			m.pause(1, 400, "before")
			m.startConcurrentOwner()
			m.pause(1, 100, "after")
			if rapid.Bool().Draw(t, "looks lost") {
				e.locked(func() { e.faults["renew * "+m.currentOwner] = fake.FaultLostBefore })
			}
			m.restart()
			m.pause(1, 1800, "beside")
			m.clearFaults()
		}
		m.finish()
	}
}

// submitChain submits a job of short steps that follow each other.
func (m *scenario) submitChain() {
	texts := []string{"1x1000/50ms 2x1000/300ms<0", "2x2000/300ms 1x3000/1s<0", "1x1000/20ms 1x1000/20ms<0 1x1000/500ms<1"}
	m.jobs++
	m.submitJob(jobID(m.jobs), texts[rapid.IntRange(0, len(texts)-1).Draw(m.t, "text")])
}

// TestConcurrentOwners checks the invariants while two owners are active.
func TestConcurrentOwners(t *testing.T) { prop.Check(t, concurrentOwners(nil)) }

// TestConcurrentOwnersDetectsFaults checks that it detects an owner that does not wait until its
// predecessor's confirmation has expired.
func TestConcurrentOwnersDetectsFaults(t *testing.T) {
	inject := func(e *testCluster) {
		e.standDown = func(context.Context, shard.OwnerRow, platform.Row) bool { return true }
	}
	qt.Assert(t, prop.FindsFailureFrom(t, 6, concurrentOwners(inject)), qt.IsTrue)
}
