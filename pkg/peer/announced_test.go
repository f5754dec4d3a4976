package peer_test

import (
	"bytes"
	"encoding/binary"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/internal/packedtest"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// TestAnnouncedLengths guards against memory for elements that a frame announces and does not hold.
func TestAnnouncedLengths(t *testing.T) {
	payload := packedtest.Announcing("owners")
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
	var got schema.CallReply
	var err error
	n := packedtest.Allocated(func() { _, err = peer.ReadFrame(bytes.NewReader(frame), &got) })
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, n < packedtest.MaxAllocated, qt.IsTrue, qt.Commentf("%d bytes", n))
}
