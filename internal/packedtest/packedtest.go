// Package packedtest helps to test decoders of msgpack with values that announce more than they hold.
package packedtest

import (
	"runtime"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxAllocated is how many bytes a decoder may allocate for a value of [Announcing].
const MaxAllocated = 4 << 20

// Announcing returns an array of a million elements that never come, in a map with one key for each of keys.
func Announcing(keys ...string) (raw []byte) {
	for _, k := range keys {
		raw = append(raw, msgpcode.FixedMapLow|1, msgpcode.FixedStrLow|byte(len(k)))
		raw = append(raw, k...)
	}
	return append(raw, msgpcode.Array32, 0, 0x10, 0, 0)
}

// Allocated returns the bytes that f allocates.
func Allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
