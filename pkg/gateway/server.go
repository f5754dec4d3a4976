package gateway

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gannetwell/gannetwell/pkg/gateway/limit"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Source is one source of information about whether a server accepts requests. Each can close
// the server, that is take it out of rotation, on its own.
type Source uint32

// The sources.
const (
	SourceTable   Source = 1 << iota // the VM's phase in the table
	SourceList                       // the platform's VM list
	SourceLeaving                    // its health endpoint reports that it is leaving
	SourceHealth                     // its health probes fail
	SourcePassive                    // failed attempts (outlier ejection)
)

// advisorySources can be wrong about a whole service at once, so they are ignored when they
// close all its servers.
const advisorySources = SourceHealth | SourcePassive

// Parameters of the latency estimate.
const (
	latencyDecay = 10 * time.Second       // time constant of the decay of a latency peak
	latencyFloor = 100 * time.Microsecond // lowest latency assumed, also before the first response
)

// Server is one backend server as seen by one entry.
type Server struct {
	Name    string // of the VM
	Zone    string
	Address string // host:port

	closed      atomic.Uint32 // bit set of the Sources that close the server
	inFlight    atomic.Int64
	limit       *limit.Adaptive
	maxInFlight atomic.Int64  // upper bound of requests in flight, from the table
	openedAt    atomic.Int64  // time of the last reopening, Unix nanoseconds
	ejections   atomic.Int64  // consecutive ejections
	latency     atomic.Uint64 // peak-sensitive moving average in nanoseconds, as float bits
	sampledAt   atomic.Int64  // time of the last latency sample, Unix nanoseconds
	failures    atomic.Int64  // consecutive failed attempts
	reopenAt    atomic.Int64  // end of the ejection, Unix nanoseconds
	transport   *http.Transport
}

// Usable implements balance.Target: the server is open and below its limit.
func (s *Server) Usable() bool { return s.usable(false) }

// usable reports whether the server accepts requests; lenient ignores advisory sources.
func (s *Server) usable(lenient bool) bool {
	return s.open(lenient) && s.inFlight.Load() < s.capacity()
}

// hasCapacity reports whether the server can take another request of the class.
func (s *Server) hasCapacity(class schema.Class) bool {
	return s.limit == nil || s.inFlight.Load() < limit.ClassLimit(s.capacity(), class)
}

// open reports whether no source closes the server; lenient ignores advisory sources.
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

// capacity returns the current limit of requests in flight from this entry.
func (s *Server) capacity() int64 {
	if s.limit == nil {
		return s.maxInFlight.Load()
	}
	return min(s.limit.Limit(), s.maxInFlight.Load())
}

// Cost implements balance.Target. It is the latency times the in-flight count including the new
// request. The latency decays without samples, so that a slow server is tried again, and a
// reopened server is ramped up by slow start.
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

// Slow start: the cost of a reopened server is raised by slowStartPenalty, falling linearly to
// zero.
const (
	slowStart        = 5 * time.Second
	slowStartPenalty = 4
)

// tryAcquire counts a request in flight if the server is open and below its limit. The count is
// incremented before the sources are checked; see the package documentation.
func (s *Server) tryAcquire(class schema.Class, lenient bool) bool {
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

// setClosed sets or clears a source. Closing drops the server's idle connections.
func (s *Server) setClosed(src Source, closed bool) {
	if !closed {
		s.closed.And(^uint32(src))
		return
	}
	if before := s.closed.Or(uint32(src)); before&uint32(src) == 0 {
		s.transport.CloseIdleConnections()
	}
}

// setTable opens or closes the server by its table row. Reopening clears all other sources,
// whose state is older than the row.
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

// observe adds a latency sample: increases apply at once, decreases gradually.
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

// Outlier ejection: a server is taken out of use after consecutive failures, each time for
// twice as long.
const (
	failuresToEject = 3
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
)

// recordSuccess resets the failure count and ends an ejection.
func (s *Server) recordSuccess() {
	if s.failures.Swap(0) != 0 {
		s.ejections.Store(0)
		s.setClosed(SourcePassive, false)
	}
}

// recordFailure counts a failed attempt and ejects the server if mayEject allows it.
func (s *Server) recordFailure(mayEject func() bool) {
	n := s.failures.Add(1)
	ejections := s.ejections.Load()
	if n < failuresToEject && ejections == 0 || !mayEject() {
		return // after an ejection a single failure ejects again
	}
	ejection := min(maxEjection, minEjection<<min(ejections, 5))
	s.ejections.Add(1)
	s.reopenAt.Store(time.Now().Add(ejection).UnixNano())
	s.setClosed(SourcePassive, true)
}

// ejected reports whether the server is ejected now.
func (s *Server) ejected() bool {
	return Source(s.closed.Load())&SourcePassive != 0 && time.Now().UnixNano() < s.reopenAt.Load()
}
