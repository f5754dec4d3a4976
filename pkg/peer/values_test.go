package peer_test

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// TestManyNames guards against a frame whose value takes many times its own size.
func TestManyNames(t *testing.T) {
	const names = 8 << 20 // of no bytes
	payload := append([]byte{0x81, 0xa8}, "wave_vms"...)
	payload = binary.BigEndian.AppendUint32(append(payload, 0xdd), names)
	payload = append(payload, bytes.Repeat([]byte{0xa0}, names)...)
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, _ = peer.ReadFrame(bytes.NewReader(frame), &schema.Call{})
	runtime.ReadMemStats(&after)
	taken := after.TotalAlloc - before.TotalAlloc
	qt.Check(t, taken < 2*memoryBound, qt.IsTrue, qt.Commentf("%d bytes", taken))
}

// TestDeepFrame guards against a frame whose values are nested so deeply that the stack of the process ends.
func TestDeepFrame(t *testing.T) {
	payload := append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, peer.MaxFrame-4)...)
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(payload)+1)), payload...)
	_, err := peer.ReadFrame(bytes.NewReader(append(frame, 0xc0)), &schema.Call{})
	qt.Check(t, err, qt.IsNotNil)
}

// TestNestedFrame checks that a whole value is refused if it is nested deeply.
func TestNestedFrame(t *testing.T) {
	const levels = 1000
	payload := append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, levels)...)
	payload = append(payload, 0xc0)
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
	_, err := peer.ReadFrame(bytes.NewReader(frame), &schema.Call{})
	qt.Check(t, err, qt.ErrorMatches, ".*nested too deeply")
}
