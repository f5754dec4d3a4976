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

// rivals has a shard taken over, with tasks about to start, from an owner that goes on, and a worker
// that starts again right after that, sometimes while the successor's looks are lost: for some time
// both owners are there, and that worker has seen neither's token.
func rivals(plant func(*estate)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newRestartingMachine(t, plant)
		e := m.e
		defer e.close()
		m.takeOver()
		m.rest(1, 1000, "quiet")
		for range rapid.IntRange(1, 2).Draw(t, "takeovers") {
			for range rapid.IntRange(1, 3).Draw(t, "jobs") {
				m.chain()
			}
			m.rest(1, 400, "before")
			m.usurp()
			m.rest(1, 100, "after")
			if rapid.Bool().Draw(t, "looks lost") {
				e.locked(func() { e.faults["renew * "+m.present] = fake.FaultLostBefore })
			}
			m.restart()
			m.rest(1, 1800, "beside")
			m.heal()
		}
		m.settle()
	}
}

// chain hands in a job of short steps, one after the other.
func (m *machine) chain() {
	texts := []string{"1x1000/50ms 2x1000/300ms<0", "2x2000/300ms 1x3000/1s<0", "1x1000/20ms 1x1000/20ms<0 1x1000/500ms<1"}
	m.jobs++
	m.send(jobID(m.jobs), texts[rapid.IntRange(0, len(texts)-1).Draw(m.t, "text")])
}

// TestRivals holds the promises while two owners are there.
func TestRivals(t *testing.T) { prop.Check(t, rivals(nil)) }

// TestRivalsFindsPlanted shows that it finds an owner that does not wait for its predecessor's right.
func TestRivalsFindsPlanted(t *testing.T) {
	plant := func(e *estate) {
		e.standDown = func(context.Context, shard.OwnerRow, platform.Row) bool { return true }
	}
	qt.Assert(t, prop.FindsFailure(t, rivals(plant)), qt.IsTrue)
}
