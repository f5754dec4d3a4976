package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/packed"
)

// MaxFrame is the largest payload of a frame in bytes.
const MaxFrame = 16 << 20

const (
	frameHeader = 4
	// readChunk bounds the memory allocated before payload bytes arrive.
	readChunk = 64 << 10
	// maxValues bounds the values of a frame; an empty one takes more memory than bytes of a frame.
	maxValues = 1 << 20
)

// ErrFrameTooLarge reports a frame larger than [MaxFrame]; Size is in bytes.
type ErrFrameTooLarge struct {
	Size uint64
}

// Error returns the size and the limit.
func (e ErrFrameTooLarge) Error() string {
	return fmt.Sprintf("frame of %d bytes is larger than the limit of %d", e.Size, MaxFrame)
}

// WriteFrame writes v as one frame; n is the number of bytes written.
func WriteFrame(w io.Writer, v any) (n int, err error) {
	defer func() { err = errors.Wrap(err, "write frame") }()
	frame, err := encodeFrame(v)
	if err != nil {
		return 0, err
	}
	return w.Write(frame)
}

// encodeFrame returns v as a frame.
func encodeFrame(v any) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, frameHeader))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	frame := buf.Bytes()
	size := len(frame) - frameHeader
	if size > MaxFrame {
		return nil, ErrFrameTooLarge{Size: uint64(size)}
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// reserve is called before a part of a frame is read into memory; an error ends the read.
type reserve func(bytes int) error

// freely reserves nothing.
func freely(int) error { return nil }

// ReadFrame reads one frame into v; n is the number of bytes read.
//
// It returns io.EOF if the stream ends before a frame and io.ErrUnexpectedEOF if it ends inside
// one.
func ReadFrame(r io.Reader, v any) (n int, err error) { return readFrame(r, v, MaxFrame, freely) }

// readFrame is ReadFrame with a limit on the payload in bytes.
func readFrame(r io.Reader, v any, limit int, reserve reserve) (n int, err error) {
	defer func() { err = errors.Wrap(err, "read frame") }()
	var header [frameHeader]byte
	if n, err = io.ReadFull(r, header[:]); err != nil {
		return n, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if uint64(size) > uint64(limit) {
		return n, ErrFrameTooLarge{Size: uint64(size)}
	}
	payload, err := readPayload(r, int(size), reserve)
	n += len(payload)
	if err != nil {
		return n, err
	}
	if err := packed.CheckAtMost(payload, maxValues); err != nil {
		return n, err
	}
	return n, msgpack.Unmarshal(payload, v)
}

// readPayload grows its buffer as data arrives, so that a false length allocates little.
func readPayload(r io.Reader, size int, reserve reserve) (payload []byte, err error) {
	for len(payload) < size {
		step := min(size-len(payload), readChunk)
		if err := reserve(step); err != nil {
			return payload, err
		}
		start := len(payload)
		payload = append(payload, make([]byte, step)...)
		got, err := io.ReadFull(r, payload[start:])
		if err != nil {
			return payload[:start+got], unexpected(err)
		}
	}
	return payload, nil
}

// unexpected turns io.EOF inside a frame into io.ErrUnexpectedEOF.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
