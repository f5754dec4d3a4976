package node

import (
	"bytes"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/ownership"
)

// TestJobMemory guards against jobs that are accepted beyond the memory for them since their bytes are not counted from
// their acceptance until a collection has seen them.
func TestJobMemory(t *testing.T) {
	c := qt.New(t)
	live, cycle := 50, uint64(1)
	m := &jobMemory{limit: 100, heap: func() (int, uint64) { return live, cycle }, collect: func() {}}
	room := func() int {
		for n := 100; n > 0; n-- {
			if release, ok := m.reserve(n); ok {
				m.pending -= n // as if it was never reserved
				_ = release
				return n
			}
		}
		return 0
	}
	c.Check(room(), qt.Equals, 50)
	release, ok := m.reserve(20)
	c.Assert(ok, qt.IsTrue)
	c.Check(room(), qt.Equals, 30)
	cycle += 5
	c.Check(room(), qt.Equals, 30, qt.Commentf("it is not laid out yet"))
	release()
	c.Check(room(), qt.Equals, 30, qt.Commentf("no collection has seen it"))
	cycle++
	c.Check(room(), qt.Equals, 30, qt.Commentf("the collection may have begun before"))
	cycle, live = cycle+1, 70
	c.Check(room(), qt.Equals, 30)
	release, ok = m.reserve(10)
	c.Assert(ok, qt.IsTrue)
	release()
	cycle++
	c.Check(room(), qt.Equals, 20)
	cycle, live = cycle+2, 0
	c.Check(room(), qt.Equals, 100)
	live = 101
	c.Check(room(), qt.Equals, 0)
	m.limit = 0
	c.Check(room(), qt.Equals, 100)
}

// TestRefusalCollects guards against jobs that are refused for memory that is free since long.
func TestRefusalCollects(t *testing.T) {
	c := qt.New(t)
	collected := make(chan struct{}, 2)
	live := 100
	m := &jobMemory{limit: 100, heap: func() (int, uint64) { return live, 1 }, collect: func() { collected <- struct{}{} }}
	for range 2 {
		_, ok := m.reserve(1)
		c.Check(ok, qt.IsFalse)
	}
	c.Check(m.asked.IsZero(), qt.IsFalse)
	select {
	case <-collected:
	case <-time.After(testTimeout):
		t.Fatal("no collection")
	}
	m.asked = time.Now().Add(-2 * collectInterval)
	_, ok := m.reserve(1)
	c.Check(ok, qt.IsFalse)
	<-collected
	c.Check(collected, qt.HasLen, 0, qt.Commentf("one an interval"))
	live = 0
	_, ok = m.reserve(1)
	c.Check(ok, qt.IsTrue)
}

// TestLiveHeap checks that what is in use is seen.
func TestLiveHeap(t *testing.T) {
	const size = 8 << 20
	_, before := liveHeap()
	held := make([]byte, size)
	runtime.GC()
	live, cycle := liveHeap()
	runtime.KeepAlive(held)
	held = nil
	runtime.GC() // other tests refuse jobs by what is in use
	qt.Check(t, live >= size, qt.IsTrue)
	qt.Check(t, cycle > before, qt.IsTrue)
}

// TestJobsBeyondTheMemory guards against owners that are not told, and refusals that nobody sees.
func TestJobsBeyondTheMemory(t *testing.T) {
	c := qt.New(t)
	var log bytes.Buffer
	s := testSettings("e", "127.0.0.1", 1, 2, 3)
	n := New(s, services{}, source(), zerolog.New(&log))
	cfg := n.shardConfig("p", ownership.Events{})
	_, ok := cfg.ReserveMemory(s.MemoryMb << 20 / jobMemoryPart)
	c.Check(ok, qt.IsFalse)
	c.Check(strings.Contains(log.String(), `"why":"memory"`), qt.IsTrue, qt.Commentf("%s", log.String()))
}
