package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// metricsPort is where figures are served, as the deploy file says.
const metricsPort = "9464"

// metrics are the node's counters and histograms; it implements shard.Metrics.
type metrics struct {
	registry *prometheus.Registry
	commits  *prometheus.HistogramVec
	looks    *prometheus.CounterVec
	orders   *prometheus.CounterVec
	ends     *prometheus.CounterVec
	passed   prometheus.Counter
	lost     *prometheus.CounterVec
	jobs     *prometheus.CounterVec
	keys     *prometheus.CounterVec
	badRows  *prometheus.CounterVec
	heldBack *prometheus.CounterVec
	waited   *prometheus.HistogramVec
	zonesOut prometheus.Gauge

	mu       sync.Mutex
	accounts map[string]bool // that have a label of their own
}

// maxAccountLabels bounds the accounts that figures are kept of by name, above the 320
// teams that the service is designed for; others are counted together.
const maxAccountLabels = 400

// otherAccounts is the label of accounts beyond maxAccountLabels.
const otherAccounts = "other accounts"

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		commits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gannetwell_commit_seconds", Help: "Time of transactions at the table service by outcome.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}, []string{"outcome"}),
		looks:  counter("gannetwell_looks_total", "Renewals of leases at workers by outcome."),
		orders: counter("gannetwell_orders_total", "Starts and stops ordered at workers by outcome."),
		ends:   counter("gannetwell_ends_total", "Ends of attempts by reason."),
		passed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gannetwell_ends_passed_over_total", Help: "Ends that workers listed though they were told to forget them.",
		}),
		lost: counter("gannetwell_attempts_lost_total", "Attempts that were lost, by how."),
		jobs: counter("gannetwell_jobs_total", "Jobs by what became of them."),
		keys: counter("gannetwell_keys_refused_total", "Calls that were refused for their key, by answer."),
		badRows: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gannetwell_rows_malformed_total", Help: "Rows that could not be read, by table.",
		}, []string{"table"}),
		heldBack: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gannetwell_account_at_limit_total", Help: "Seconds in which a shard held tasks of a client account back for its limit.",
		}, []string{"account"}),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gannetwell_predecessor_wait_seconds", Help: "Time after a takeover in which the owner before could act still, by how that ended.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}, []string{"end"}),
		zonesOut: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gannetwell_zones_out", Help: "Availability zones that the operator has taken out of use.",
		}),
		accounts: map[string]bool{},
	}
	m.registry.MustRegister(m.commits, m.looks, m.orders, m.ends, m.passed, m.lost, m.jobs, m.keys, m.badRows, m.heldBack, m.waited, m.zonesOut, collectors.NewGoCollector())
	return m
}

func counter(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{"outcome"})
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Commit implements shard.Metrics.
func (m *metrics) Commit(d time.Duration, err error) {
	m.commits.WithLabelValues(outcome(err)).Observe(d.Seconds())
}

// Poll implements shard.Metrics.
func (m *metrics) Poll(err error) { m.looks.WithLabelValues(outcome(err)).Inc() }

// Order implements shard.Metrics.
func (m *metrics) Order(err error) { m.orders.WithLabelValues(outcome(err)).Inc() }

// End implements shard.Metrics.
func (m *metrics) End(reason platform.EndReason) { m.ends.WithLabelValues(string(reason)).Inc() }

// StaleEnd implements shard.Metrics.
func (m *metrics) StaleEnd() { m.passed.Inc() }

// AttemptLost implements shard.Metrics.
func (m *metrics) AttemptLost(kind shard.LossKind) { m.lost.WithLabelValues(string(kind)).Inc() }

// PredecessorDone implements shard.Metrics.
func (m *metrics) PredecessorDone(end shard.PredecessorEnd, waited time.Duration) {
	m.waited.WithLabelValues(string(end)).Observe(waited.Seconds())
}

// Job implements shard.Metrics.
func (m *metrics) Job(event string) { m.jobs.WithLabelValues(event).Inc() }

// AccountAtLimit implements shard.Metrics.
func (m *metrics) AccountAtLimit(account string) {
	m.heldBack.WithLabelValues(m.accountLabel(account)).Inc()
}

// RowMalformed implements shard.Metrics.
func (m *metrics) RowMalformed(table string) { m.badRows.WithLabelValues(table).Inc() }

// accountLabel returns the label of an account.
func (m *metrics) accountLabel(account string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accounts[account] {
		if len(m.accounts) >= maxAccountLabels {
			return otherAccounts
		}
		m.accounts[account] = true
	}
	return account
}

// outcome names an error for a label.
func outcome(err error) string {
	var refused platform.ErrOrderRefused
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, new(platform.ErrConflict)):
		return "conflict"
	case errors.As(err, new(platform.ErrNotDone)):
		return "not_done"
	case platform.IsRefused(err):
		return "refused"
	case errors.As(err, &refused):
		return string(refused.Reason)
	case errors.As(err, new(platform.ErrOtherBoot)):
		return "other_boot"
	default:
		return "unknown"
	}
}
