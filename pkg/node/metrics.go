package node

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/gannetwell/gannetwell/pkg/platform"
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
	jobs     *prometheus.CounterVec
}

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
		jobs:   counter("gannetwell_jobs_total", "Jobs by what became of them."),
	}
	m.registry.MustRegister(m.commits, m.looks, m.orders, m.ends, m.jobs, collectors.NewGoCollector())
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

// Look implements shard.Metrics.
func (m *metrics) Look(err error) { m.looks.WithLabelValues(outcome(err)).Inc() }

// Order implements shard.Metrics.
func (m *metrics) Order(err error) { m.orders.WithLabelValues(outcome(err)).Inc() }

// End implements shard.Metrics.
func (m *metrics) End(reason platform.EndReason) { m.ends.WithLabelValues(string(reason)).Inc() }

// Job implements shard.Metrics.
func (m *metrics) Job(event string) { m.jobs.WithLabelValues(event).Inc() }

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
	case errors.As(err, &refused):
		return string(refused.Reason)
	case errors.As(err, new(platform.ErrOtherBoot)):
		return "other_boot"
	default:
		return "unknown"
	}
}
