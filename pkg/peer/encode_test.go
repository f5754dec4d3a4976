package peer

import (
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
)

// slowValue is a value whose encoding takes time; it counts those that are encoded together.
type slowValue struct {
	underWay, most *int
	mu             *sync.Mutex
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (v slowValue) EncodeMsgpack(enc *msgpack.Encoder) error {
	v.mu.Lock()
	*v.underWay++
	*v.most = max(*v.most, *v.underWay)
	v.mu.Unlock()
	time.Sleep(10 * time.Millisecond) // long enough for others to begin
	v.mu.Lock()
	*v.underWay--
	v.mu.Unlock()
	return enc.EncodeBytes(make([]byte, readChunk))
}

// TestEncodeTogether guards against replies that are encoded together, before the bytes of any are counted.
func TestEncodeTogether(t *testing.T) {
	const replies = 8
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	s := NewCallServer(ln, nil, zerolog.Nop())
	value := slowValue{underWay: new(int), most: new(int), mu: new(sync.Mutex)}
	var encoded sync.WaitGroup
	for range replies {
		encoded.Go(func() {
			_, err := s.encode(value, s.writing.begin(ln))
			qt.Check(t, err, qt.IsNil)
		})
	}
	encoded.Wait()
	qt.Check(t, *value.most, qt.Equals, 1)
	qt.Check(t, s.writing.used > replies*readChunk, qt.IsTrue)
}
