package jobs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/internal/packedtest"
)

// TestAnnouncedLengths guards against memory for elements that a stored job announces and does not hold.
func TestAnnouncedLengths(t *testing.T) {
	for name, decode := range map[string]func() error{
		"record":   func() error { _, err := DecodeRecord(packedtest.Announcing("s", "s")); return err },
		"progress": func() error { _, err := DecodeProgress(packedtest.Announcing("p")); return err },
		"versioned progress": func() error {
			_, err := DecodeProgress(append([]byte{0x92, versionedFormat}, packedtest.Announcing("p")...))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			n := packedtest.Allocated(func() { err = decode() })
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, n < packedtest.MaxAllocated, qt.IsTrue, qt.Commentf("%d bytes", n))
		})
	}
}
