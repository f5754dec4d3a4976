package peer

import (
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
	payload, err := msgpack.Marshal(v)
	if err != nil {
		return 0, err
	}
	if len(payload) > MaxFrame {
		return 0, ErrFrameTooLarge{Size: uint64(len(payload))}
	}
	buf := make([]byte, frameHeader, frameHeader+len(payload))
	binary.BigEndian.PutUint32(buf, uint32(len(payload)))
	return w.Write(append(buf, payload...))
}

// ReadFrame reads one frame into v; n is the number of bytes read.
//
// It returns io.EOF if the stream ends before a frame and io.ErrUnexpectedEOF if it ends inside
// one.
func ReadFrame(r io.Reader, v any) (n int, err error) {
	defer func() { err = errors.Wrap(err, "read frame") }()
	var header [frameHeader]byte
	if n, err = io.ReadFull(r, header[:]); err != nil {
		return n, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrame {
		return n, ErrFrameTooLarge{Size: uint64(size)}
	}
	payload, err := readPayload(r, int(size))
	n += len(payload)
	if err != nil {
		return n, err
	}
	return n, packed.Unmarshal(payload, v)
}

// readPayload grows its buffer as data arrives, so that a false length allocates little.
func readPayload(r io.Reader, size int) (payload []byte, err error) {
	payload = make([]byte, 0, min(size, readChunk))
	for len(payload) < size {
		step := min(size-len(payload), readChunk)
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
