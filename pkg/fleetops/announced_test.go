package fleetops

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/internal/packedtest"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestAnnouncedLengths guards against memory for elements that a stored announcement of orders does not hold.
func TestAnnouncedLengths(t *testing.T) {
	var err error
	n := packedtest.Allocated(func() { _, err = decodeAnnouncement(platform.Row{Version: 1, Value: packedtest.Announcing("o")}) })
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, n < packedtest.MaxAllocated, qt.IsTrue, qt.Commentf("%d bytes", n))
}
