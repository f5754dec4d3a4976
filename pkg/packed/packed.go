package packed

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is how many arrays and maps may be nested.
const MaxDepth = 32

var (
	errTruncated = errors.New("msgpack: more is announced than there are bytes")
	errTooDeep   = errors.Errorf("msgpack: more than %d levels, nested too deeply", MaxDepth)
	errTooMany   = errors.New("msgpack: too many values")
	errCode      = errors.New("msgpack: unknown type")
)

// Unmarshal decodes raw into v unless [Check] refuses it.
func Unmarshal(raw []byte, v any) error {
	if err := Check(raw); err != nil {
		return err
	}
	return msgpack.Unmarshal(raw, v)
}

// Check returns an error if raw does not begin with a whole value of at most [MaxDepth] levels.
//
// The decoder allocates as many elements as an array announces before it reads them, and recurses once a level.
func Check(raw []byte) error { return CheckAtMost(raw, math.MaxInt) }

// CheckAtMost does what [Check] does, and returns an error if there are more than n values, nested ones included.
func CheckAtMost(raw []byte, n int) error {
	var left [MaxDepth + 1]int // values that are still to come, by level
	left[0] = 1
	for depth := 0; depth >= 0; {
		if left[depth] == 0 {
			depth--
			continue
		}
		left[depth]--
		if n--; n < 0 {
			return errTooMany
		}
		rest, values, err := next(raw)
		if err != nil {
			return err
		}
		raw = rest
		if values > 0 {
			if depth == MaxDepth {
				return errTooDeep
			}
			depth++
			left[depth] = values
		}
	}
	return nil
}

// next skips the head of a value, and its bytes if it has any; values is the number of values within it.
func next(raw []byte) (rest []byte, values int, err error) {
	if len(raw) == 0 {
		return nil, 0, errTruncated
	}
	c, rest := raw[0], raw[1:]
	switch {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return rest, 0, nil
	case msgpcode.IsFixedMap(c):
		return rest, 2 * int(c&msgpcode.FixedMapMask), nil
	case msgpcode.IsFixedArray(c):
		return rest, int(c & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedString(c):
		return skip(rest, int(c&msgpcode.FixedStrMask))
	}
	h, ok := heads[c]
	if !ok {
		return nil, 0, errCode
	}
	if h.lengthBytes == 0 {
		return skip(rest, h.fixedBytes)
	}
	if len(rest) < h.lengthBytes {
		return nil, 0, errTruncated
	}
	var wide [8]byte
	copy(wide[8-h.lengthBytes:], rest)
	n, rest := int(binary.BigEndian.Uint64(wide[:])), rest[h.lengthBytes:]
	if h.valuesEach > 0 {
		return rest, n * h.valuesEach, nil
	}
	return skip(rest, n+h.fixedBytes)
}

// skip skips the n bytes of a value.
func skip(raw []byte, n int) (rest []byte, values int, err error) {
	if n > len(raw) {
		return nil, 0, errTruncated
	}
	return raw[n:], 0, nil
}

// head describes what follows the first byte of a value.
type head struct {
	lengthBytes int // of the announced length, 0 for none
	fixedBytes  int // besides the announced ones
	valuesEach  int // values that each unit of the length stands for, 0 if it counts bytes
}

const extTypeBytes = 1

var heads = map[byte]head{
	msgpcode.Uint8: {fixedBytes: 1}, msgpcode.Uint16: {fixedBytes: 2}, msgpcode.Uint32: {fixedBytes: 4}, msgpcode.Uint64: {fixedBytes: 8},
	msgpcode.Int8: {fixedBytes: 1}, msgpcode.Int16: {fixedBytes: 2}, msgpcode.Int32: {fixedBytes: 4}, msgpcode.Int64: {fixedBytes: 8},
	msgpcode.Float: {fixedBytes: 4}, msgpcode.Double: {fixedBytes: 8},
	msgpcode.Str8: {lengthBytes: 1}, msgpcode.Str16: {lengthBytes: 2}, msgpcode.Str32: {lengthBytes: 4},
	msgpcode.Bin8: {lengthBytes: 1}, msgpcode.Bin16: {lengthBytes: 2}, msgpcode.Bin32: {lengthBytes: 4},
	msgpcode.Array16: {lengthBytes: 2, valuesEach: 1}, msgpcode.Array32: {lengthBytes: 4, valuesEach: 1},
	msgpcode.Map16: {lengthBytes: 2, valuesEach: 2}, msgpcode.Map32: {lengthBytes: 4, valuesEach: 2},
	msgpcode.FixExt1: {fixedBytes: extTypeBytes + 1}, msgpcode.FixExt2: {fixedBytes: extTypeBytes + 2}, msgpcode.FixExt4: {fixedBytes: extTypeBytes + 4},
	msgpcode.FixExt8: {fixedBytes: extTypeBytes + 8}, msgpcode.FixExt16: {fixedBytes: extTypeBytes + 16},
	msgpcode.Ext8: {lengthBytes: 1, fixedBytes: extTypeBytes}, msgpcode.Ext16: {lengthBytes: 2, fixedBytes: extTypeBytes}, msgpcode.Ext32: {lengthBytes: 4, fixedBytes: extTypeBytes},
}
