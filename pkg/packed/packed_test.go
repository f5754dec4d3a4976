package packed

import (
	"bytes"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/packedtest"
)

type element struct {
	Name  string
	Tasks []string
	Next  []element
	Sizes map[int][]int64
	Value any
}

// TestAnnouncedLengths guards against memory for elements that are announced and never come.
func TestAnnouncedLengths(t *testing.T) {
	for name, raw := range map[string][]byte{
		"array":           packedtest.Announcing(),
		"array of a map":  packedtest.Announcing("Next"),
		"map":             {0xdf, 0, 0x10, 0, 0},
		"string":          {0xdb, 0x10, 0, 0, 0},
		"bytes":           {0xc6, 0x10, 0, 0, 0},
		"extension":       {0xc9, 0x10, 0, 0, 0, 1},
		"cut number":      {0xcf, 1, 2},
		"cut length":      {0xdd, 1},
		"cut map":         {0x82, 0xa1, 'a', 1},
		"reserved":        {0xc1},
		"nothing":         {},
		"missing element": {0x92, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var got []element
			var err error
			n := packedtest.Allocated(func() { err = Unmarshal(raw, &got) })
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, n < packedtest.MaxAllocated, qt.IsTrue, qt.Commentf("%d bytes", n))
			qt.Check(t, Check(raw), qt.IsNotNil)
		})
	}
}

// TestNestedArrays guards against a stack that grows with the levels of a value.
func TestNestedArrays(t *testing.T) {
	nested := func(levels int) []byte { return append(bytes.Repeat([]byte{0x91}, levels), 0xc0) }
	qt.Check(t, Check(nested(MaxDepth)), qt.IsNil)
	for _, levels := range []int{MaxDepth + 1, 1 << 20} {
		var got any
		err := Unmarshal(nested(levels), &got)
		qt.Check(t, err, qt.Equals, errTooDeep, qt.Commentf("%d levels", levels))
	}
}

// TestValidValues checks that any value that is encoded is decoded, and none of its proper beginnings.
func TestValidValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := element{
			Name: rapid.String().Draw(t, "name"), Tasks: rapid.SliceOf(rapid.StringN(0, 300, 400)).Draw(t, "tasks"),
			Next:  make([]element, rapid.IntRange(0, 40).Draw(t, "next")),
			Sizes: rapid.MapOf(rapid.Int(), rapid.SliceOf(rapid.Int64())).Draw(t, "sizes"),
			Value: rapid.SampledFrom([]any{nil, true, 1.5, float32(2), -1, uint64(math.MaxUint64), time.Unix(1, 2), time.Unix(1<<40, 0), make([]byte, 300), make([]byte, 70_000)}).Draw(t, "value"),
		}
		raw, err := msgpack.Marshal(&v)
		if err != nil {
			t.Fatal(err)
		}
		var got element
		if err := Unmarshal(raw, &got); err != nil {
			t.Fatalf("%x: %v", raw, err)
		}
		if cut := rapid.IntRange(0, len(raw)-1).Draw(t, "cut"); Check(raw[:cut]) == nil {
			t.Fatalf("%d of %d bytes are taken", cut, len(raw))
		}
	})
}

// FuzzUnmarshal checks that no bytes end the process and that what the check refuses is an error.
func FuzzUnmarshal(f *testing.F) {
	for _, s := range []string{"\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff", "\x91\x91\x91\xc0", "\x81\xa4Next\xdd\x7f\xff\xff\xff", "\xc9\xff\xff\xff\xff\x01"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var got []element
		_ = Unmarshal(raw, &got)
	})
}
