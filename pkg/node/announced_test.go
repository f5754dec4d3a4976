package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/internal/packedtest"
)

// TestAnnouncedLengths guards against memory for elements that the progress of waves announces and does not hold.
func TestAnnouncedLengths(t *testing.T) {
	n := New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{}, source(), testLog())
	allocated := packedtest.Allocated(func() { qt.Check(t, n.decodeProgress(packedtest.Announcing()), qt.HasLen, 0) })
	qt.Check(t, allocated < packedtest.MaxAllocated, qt.IsTrue, qt.Commentf("%d bytes", allocated))
}
