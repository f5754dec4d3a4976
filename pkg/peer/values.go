package peer

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	maxValues = 1 << 20 // of one frame; an empty value takes more memory than bytes of a frame
	maxDepth  = 32      // of nested values
)

var (
	errTooManyValues = errors.New("too many values in a frame")
	errTooDeep       = errors.New("values of a frame are nested too deeply")
)

// valueCounter passes over the values of a frame.
type valueCounter struct {
	dec  *msgpack.Decoder
	left int // values that may follow
}

// checkValues checks the number and the depth of a payload's values, which bound the memory of the decoded ones.
func checkValues(payload []byte) error {
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(payload))
	c := &valueCounter{dec: dec, left: maxValues}
	return c.pass(1, 0)
}

// pass passes over n values at a depth.
func (c *valueCounter) pass(n, depth int) error {
	if depth > maxDepth {
		return errTooDeep
	}
	if c.left -= n; c.left < 0 {
		return errTooManyValues
	}
	for range n {
		if err := c.passOne(depth); err != nil {
			return err
		}
	}
	return nil
}

// passOne passes over a value with all that it contains.
func (c *valueCounter) passOne(depth int) error {
	code, err := c.dec.PeekCode()
	if err != nil {
		return err
	}
	n := 0
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		n, err = c.dec.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		n, err = c.dec.DecodeMapLen()
		n = min(n, maxValues) * 2 // keys and values
	default:
		return c.dec.Skip()
	}
	if err != nil {
		return err
	}
	return c.pass(n, depth+1)
}
