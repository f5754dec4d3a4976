package gateway

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gannetwell/gannetwell/pkg/gateway/limit"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Source is one of the places that tell whether a server takes work; each may close it by itself.
type Source uint32

// The sources.
const (
	SourceTable   Source = 1 << iota // the VM's phase in the table
	SourceList                       // the platform's VM list
	SourceProbe                      // the server's own word that it is leaving
	SourceHealth                     // probes that fail
	SourcePassive                    // exchanges that fail
)

// advisorySources are the sources that may be wrong about a whole service at once: when
// they close every server of it, they are not believed.
const advisorySources = SourceHealth | SourcePassive

// The latency estimate.
const (
	latencyDecay = 10 * time.Second       // time in which a past peak loses 1-1/e of its weight
	latencyFloor = 100 * time.Microsecond // assumed of a server that has not answered yet
)

// Server is one backend server as one entry sees it.
type Server struct {
	Name    string // of its VM
	Zone    string
	Address string // host:port

	closed      atomic.Uint32 // sources that close it
	inFlight    atomic.Int64
	limit       *limit.Adaptive
	maxInFlight atomic.Int64  // requests in flight at the most, whatever the limit adapts to
	openedAt    atomic.Int64  // when it was opened again, Unix nanoseconds
	ejections   atomic.Int64  // passive closings in a row
	latency     atomic.Uint64 // peak-sensitive average in nanoseconds, as float bits
	sampledAt   atomic.Int64  // time of the last sample, Unix nanoseconds
	failures    atomic.Int64  // exchanges that failed in a row
	reopenAt    atomic.Int64  // end of a passive closing, Unix nanoseconds
	transport   *http.Transport
}

// Usable implements balance.Target: no source closes the server and it has room.
func (s *Server) Usable() bool { return s.usable(false) }

// usable tells whether the server takes work; lenient leaves soft sources out.
func (s *Server) usable(lenient bool) bool {
	return s.open(lenient) && s.inFlight.Load() < s.capacity()
}

// hasCapacity tells whether a request of a class may join those in flight.
func (s *Server) hasCapacity(class schema.Class) bool {
	return s.limit == nil || s.inFlight.Load() < limit.ClassLimit(s.capacity(), class)
}

// open tells that no source closes the server.
func (s *Server) open(lenient bool) bool {
	closed := Source(s.closed.Load())
	if lenient {
		closed &^= advisorySources
	}
	if closed&SourcePassive != 0 && time.Now().UnixNano() >= s.reopenAt.Load() {
		closed &^= SourcePassive
	}
	return closed == 0
}

// capacity is how many requests the server may have in flight from this entry.
func (s *Server) capacity() int64 {
	if s.limit == nil {
		return s.maxInFlight.Load()
	}
	return min(s.limit.Limit(), s.maxInFlight.Load())
}

// Cost implements balance.Target: expected wait, as latency times the queue that
// a new request would join. What was seen long ago fades, so that a server which
// was slow is tried again; a server that has just been opened is approached slowly.
func (s *Server) Cost() float64 {
	now := time.Now().UnixNano()
	latency := math.Float64frombits(s.latency.Load())
	latency *= math.Exp(-float64(now-s.sampledAt.Load()) / float64(latencyDecay))
	cost := max(latency, float64(latencyFloor)) * float64(s.inFlight.Load()+1)
	if age := now - s.openedAt.Load(); age < int64(slowStart) {
		cost *= 1 + slowStartPenalty*(1-float64(age)/float64(slowStart))
	}
	return cost
}

// Slow start: a server that is opened costs this much more at first.
const (
	slowStart        = 5 * time.Second
	slowStartPenalty = 4
)

// claim counts a request in flight, unless the server has been closed or is full.
//
// The count comes first and the look at the sources second; see the package comment.
func (s *Server) claim(class schema.Class, lenient bool) bool {
	n := s.inFlight.Add(1)
	capacity := s.capacity()
	if s.limit != nil {
		capacity = limit.ClassLimit(capacity, class)
	}
	if s.open(lenient) && n <= capacity {
		return true
	}
	s.release()
	return false
}

func (s *Server) release() { s.inFlight.Add(-1) }

// setClosed sets or clears a source; idle connections of a server that closes are dropped.
func (s *Server) setClosed(src Source, closed bool) {
	if !closed {
		s.closed.And(^uint32(src))
		return
	}
	if before := s.closed.Or(uint32(src)); before&uint32(src) == 0 {
		s.transport.CloseIdleConnections()
	}
}

// setTable closes or opens the server by its row. A server that returns starts
// afresh: what other sources said before is older than the row.
func (s *Server) setTable(closed bool) {
	if Source(s.closed.Load())&SourceTable != 0 && !closed {
		s.failures.Store(0)
		s.ejections.Store(0)
		s.openedAt.Store(time.Now().UnixNano())
		s.closed.Store(0)
		return
	}
	s.setClosed(SourceTable, closed)
}

// observe takes a sample into the latency estimate: a rise counts at once, a fall slowly.
func (s *Server) observe(d time.Duration) {
	now := time.Now().UnixNano()
	last := s.sampledAt.Swap(now)
	old := math.Float64frombits(s.latency.Load())
	sample := float64(d)
	if sample < old {
		w := math.Exp(-float64(now-last) / float64(latencyDecay))
		sample = old*w + sample*(1-w)
	}
	s.latency.Store(math.Float64bits(sample))
}

// Passive closing: a server is left alone for a while after failures in a row,
// each time for longer.
const (
	failuresToEject = 3
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
)

// recordSuccess notes an exchange that was answered.
func (s *Server) recordSuccess() {
	if s.failures.Swap(0) != 0 {
		s.ejections.Store(0)
		s.setClosed(SourcePassive, false)
	}
}

// recordFailure notes an exchange that broke; may tells whether the server may be closed for it.
func (s *Server) recordFailure(mayEject func() bool) {
	n := s.failures.Add(1)
	ejections := s.ejections.Load()
	if n < failuresToEject && ejections == 0 || !mayEject() {
		return // the first failure after a closing closes again
	}
	ejection := min(maxEjection, minEjection<<min(ejections, 5))
	s.ejections.Add(1)
	s.reopenAt.Store(time.Now().Add(ejection).UnixNano())
	s.setClosed(SourcePassive, true)
}

// ejected tells that passive closing keeps the server from work now.
func (s *Server) ejected() bool {
	return Source(s.closed.Load())&SourcePassive != 0 && time.Now().UnixNano() < s.reopenAt.Load()
}
