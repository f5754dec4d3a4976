package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/httplimit"
	"github.com/gannetwell/gannetwell/pkg/logtally"
)

// refusalLogInterval is the time between two log lines of the same reason.
const refusalLogInterval = time.Second

// refusals counts clients that were not served, with a log line for each reason now and then.
type refusals struct {
	log     zerolog.Logger
	metrics *metrics

	mu      sync.Mutex
	tallies map[httplimit.Refusal]*logtally.Tally
}

func newRefusals(log zerolog.Logger, m *metrics) *refusals {
	return &refusals{log: log, metrics: m, tallies: map[httplimit.Refusal]*logtally.Tally{}}
}

// add counts a client that was not served.
func (r *refusals) add(why httplimit.Refusal) {
	r.metrics.clientsRefused.WithLabelValues(string(why)).Inc()
	if n := r.tally(why).Add(); n > 0 {
		r.log.Warn().Str("event", "clients_refused").Str("why", string(why)).Int("count", n).Send()
	}
}

// tally returns the tally of a reason.
func (r *refusals) tally(why httplimit.Refusal) *logtally.Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tallies[why]
	if t == nil {
		t = logtally.New(refusalLogInterval)
		r.tallies[why] = t
	}
	return t
}
