package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/httplimit"
)

// refusalLogInterval is the time between two log lines of the same reason.
const refusalLogInterval = time.Second

// refusals counts clients that were not served, with a log line for each reason now and then.
type refusals struct {
	log     zerolog.Logger
	metrics *metrics

	mu     sync.Mutex
	counts map[httplimit.Refusal]int // since the last line
	logged map[httplimit.Refusal]time.Time
}

func newRefusals(log zerolog.Logger, m *metrics) *refusals {
	return &refusals{log: log, metrics: m, counts: map[httplimit.Refusal]int{}, logged: map[httplimit.Refusal]time.Time{}}
}

// add counts a client that was not served.
func (r *refusals) add(why httplimit.Refusal) {
	r.metrics.clientsRefused.WithLabelValues(string(why)).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[why]++
	if time.Since(r.logged[why]) < refusalLogInterval {
		return
	}
	r.log.Warn().Str("event", "clients_refused").Str("why", string(why)).Int("count", r.counts[why]).Send()
	r.counts[why], r.logged[why] = 0, time.Now()
}
