package platform_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestBootID checks that ParseBootID inverts BootID and keeps IDs without a boot time.
func TestBootID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worker := rapid.StringMatching(`[a-z0-9-]{1,12}`).Draw(t, "worker")
		bootedAt := rapid.Int64Range(0, 1<<50).Draw(t, "born")
		gotWorker, gotBootedAt := platform.ParseBootID(platform.BootID(worker, bootedAt))
		if gotWorker != worker || gotBootedAt != bootedAt {
			t.Fatalf("got %q and %d", gotWorker, gotBootedAt)
		}
	})
	worker, bootedAt := platform.ParseBootID("w1@noon")
	qt.Check(t, worker, qt.Equals, "w1@noon")
	qt.Check(t, bootedAt, qt.Equals, int64(0))
}
