package node

import (
	runtimemetrics "runtime/metrics"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/httplimit"
)

const (
	// jobMemoryPart is the part of the memory limit that may be in use when a job is accepted, one in so many bytes; the
	// rest is for work on the jobs, and for shards that are taken over.
	jobMemoryPart = 4
	// refusalMemory is why a job is refused that the entry has no memory for.
	refusalMemory httplimit.Refusal = "memory"
	// collectInterval is the time between two collections that refusals cause.
	collectInterval = time.Second
)

// jobMemory keeps new jobs from taking the process beyond a part of its memory. What is in use is known as of the last
// garbage collection; jobs accepted since are added to it.
type jobMemory struct {
	limit int                             // in bytes, 0 for none
	heap  func() (live int, cycle uint64) // in use at the last collection, and its number

	collect func() // starts a collection

	mu        sync.Mutex
	asked     time.Time // when collect was called last
	pending   int       // bytes of jobs that are not laid out yet
	cycle     uint64    // of the last collection that was seen
	collected int       // bytes of jobs laid out before that one began or while it ran, which it may have missed
	recent    int       // and after it
}

// reserve reports whether there is memory for a job of n bytes; release is called when it is laid out or refused.
func (m *jobMemory) reserve(n int) (release func(), ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.refresh()
	if m.limit > 0 && live+m.pending+m.collected+m.recent+n > m.limit {
		// What was in use may be free now, and without new work the next collection may be minutes away.
		if time.Since(m.asked) > collectInterval {
			m.asked = time.Now()
			go m.collect()
		}
		return nil, false
	}
	m.pending += n
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.refresh()
		m.pending -= n
		m.recent += n
	}, true
}

// refresh takes note of a collection and returns the bytes in use, without jobs that are too recent.
func (m *jobMemory) refresh() (live int) {
	live, cycle := m.heap()
	switch cycle {
	case m.cycle:
		return live
	case m.cycle + 1:
		m.collected = m.recent
	default:
		m.collected = 0
	}
	m.cycle, m.recent = cycle, 0
	return live
}

// liveHeap returns the bytes in use as of the last garbage collection, and its number.
func liveHeap() (live int, cycle uint64) {
	s := []runtimemetrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/cycles/total:gc-cycles"}}
	runtimemetrics.Read(s)
	return int(s[0].Value.Uint64()), s[1].Value.Uint64()
}

// reserveJobMemory is called by owners for each new job.
func (n *Node) reserveJobMemory(bytes int) (release func(), ok bool) {
	if release, ok = n.jobMemory.reserve(bytes); !ok {
		n.refusals.add(refusalMemory)
	}
	return release, ok
}
