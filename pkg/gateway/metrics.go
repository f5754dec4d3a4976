package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the Prometheus metrics of a gateway.
type metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	revision prometheus.Gauge
}

func newMetrics() *metrics {
	return &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gannetwell_requests_total",
			Help: "Requests by route, outcome and reason; the reason is empty for answers of a backend server.",
		}, []string{"route", "outcome", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "gannetwell_request_seconds",
			Help:    "Time from a request's header to the end of its answer, by class.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"class"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gannetwell_retries_total",
			Help: "Attempts after the first one, by route.",
		}, []string{"route"}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gannetwell_table_revision",
			Help: "Table revision that requests are served by.",
		}),
	}
}

// Register registers the gateway's metrics with reg.
func (g *Gateway) Register(reg prometheus.Registerer) error {
	collectors := []prometheus.Collector{
		g.metrics.requests, g.metrics.seconds, g.metrics.retries, g.metrics.revision,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "gannetwell_requests_active",
			Help: "Requests being served, upgraded connections included.",
		}, func() float64 { return float64(g.Active()) }),
	}
	for _, c := range collectors {
		if err := reg.Register(c); err != nil {
			return err
		}
	}
	return nil
}
