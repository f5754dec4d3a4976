package peer

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// errOverBudget ends a link whose frame had to make room for others.
var errOverBudget = errors.New("frames of all links take too much memory")

// budget bounds the sum of the bytes of the frames under way on all links. Above it, the link whose
// frame began first is closed.
type budget struct {
	max int

	mu     sync.Mutex
	used   int
	begun  int // frames so far
	frames map[*frameUnderWay]struct{}
}

// frameUnderWay is one frame that is being read or written.
type frameUnderWay struct {
	b     *budget
	link  io.Closer
	began int // its place in the order of all frames

	// Guarded by the budget's lock.
	bytes  int
	closed bool // to make room
}

func newBudget(bytes int) *budget {
	return &budget{max: bytes, frames: map[*frameUnderWay]struct{}{}}
}

// begin adds a frame of a link, which takes no bytes yet.
func (b *budget) begin(link io.Closer) *frameUnderWay {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begun++
	f := &frameUnderWay{b: b, link: link, began: b.begun}
	b.frames[f] = struct{}{}
	return f
}

// add adds bytes to the frame, and closes links of older ones for it.
func (f *frameUnderWay) add(bytes int) error {
	f.b.mu.Lock()
	defer f.b.mu.Unlock()
	for !f.closed && f.b.used+bytes > f.b.max {
		f.b.closeOldest()
	}
	if f.closed {
		return errOverBudget
	}
	f.bytes += bytes
	f.b.used += bytes
	return nil
}

// closeOldest closes the link of the frame that began first.
func (b *budget) closeOldest() {
	var oldest *frameUnderWay
	for f := range b.frames {
		if f.bytes > 0 && (oldest == nil || f.began < oldest.began) {
			oldest = f
		}
	}
	oldest.closed = true
	oldest.remove()
	_ = oldest.link.Close()
}

// end removes the frame.
func (f *frameUnderWay) end() {
	f.b.mu.Lock()
	defer f.b.mu.Unlock()
	f.remove()
}

func (f *frameUnderWay) remove() {
	delete(f.b.frames, f)
	f.b.used -= f.bytes
	f.bytes = 0
}
