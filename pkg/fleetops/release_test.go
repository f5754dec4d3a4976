package fleetops

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestReleaseWithSilentStore guards against a planned stop that waits for an answer of the table service
// beyond the grace period: the release of the fleet operations ends without one.
func TestReleaseWithSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{}}
		r := s.open(c, "e", time.Now())
		time.Sleep(time.Second)
		s.rows.SetFault(func(op fake.RowOp, _ string) fake.Fault {
			if op == fake.RowCommit {
				return fake.FaultLostBefore
			}
			return fake.FaultNone
		})
		ctx, cancel := context.WithCancel(context.Background())
		released := make(chan struct{})
		go func() {
			r.Release(ctx, "")
			close(released)
		}()
		time.Sleep(3 * time.Second)
		select {
		case <-released:
		default:
			t.Error("the release waits for an answer")
		}
		cancel()
		<-released
	})
}
