package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// metricsPort is the port of metrics and operators' requests, as in the deployment file.
const metricsPort = "9464"

// metrics are the node's Prometheus metrics; it implements [shard.Metrics].
type metrics struct {
	registry        *prometheus.Registry
	commits         *prometheus.HistogramVec
	leaseRenewals   *prometheus.CounterVec
	orders          *prometheus.CounterVec
	attemptEnds     *prometheus.CounterVec
	staleEnds       prometheus.Counter
	endsCut         prometheus.Counter
	queueMoves      *prometheus.CounterVec
	clockReads      prometheus.Counter
	losses          *prometheus.CounterVec
	jobs            *prometheus.CounterVec
	keysRefused     *prometheus.CounterVec
	clientsRefused  *prometheus.CounterVec
	malformedRows   *prometheus.CounterVec
	atLimit         *prometheus.CounterVec
	timeouts        *prometheus.CounterVec
	predecessorWait *prometheus.HistogramVec
	evacuatedZones  prometheus.Gauge
	coldWorkers     prometheus.Gauge
	waveVMs         *prometheus.GaugeVec
	wavesAtRisk     prometheus.Gauge
	waveVMsLearned  prometheus.Counter
	poolsShort      prometheus.Gauge
	shareLevel      *prometheus.GaugeVec

	mu               sync.Mutex
	labelledAccounts map[string]bool // accounts with a label of their own
}

// maxAccountLabels bounds the accounts with a label of their own; it exceeds the 320 accounts that the
// service is designed for.
const maxAccountLabels = 400

// otherAccounts is the label of all further accounts.
const otherAccounts = "other accounts"

func newMetrics() *metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	f := metricFactory{promauto.With(registry)}
	return &metrics{
		registry:         registry,
		commits:          f.histogramVec("gannetwell_commit_seconds", "Time of transactions at the table service by outcome.", "outcome", prometheus.ExponentialBuckets(0.002, 2, 12)),
		leaseRenewals:    f.counterVec("gannetwell_looks_total", "Renewals of leases at workers by outcome.", "outcome"),
		orders:           f.counterVec("gannetwell_orders_total", "Starts and stops ordered at workers by outcome.", "outcome"),
		attemptEnds:      f.counterVec("gannetwell_ends_total", "Ends of attempts by reason.", "outcome"),
		timeouts:         f.counterVec("gannetwell_order_timeouts_changed_total", "Changes between usual and short timeouts of calls to workers.", "to"),
		staleEnds:        f.counter("gannetwell_ends_passed_over_total", "Ends that workers listed though they were told to forget them."),
		queueMoves:       f.counterVec("gannetwell_queue_moves_total", "Queues that came to a shard of this entry, or left it, by direction.", "direction"),
		endsCut:          f.counter("gannetwell_reports_cut_total", "Workers' reports that list as many ends as they can, so that others may be missing."),
		clockReads:       f.counter("gannetwell_clocks_read_total", "Polls that read the clock of a worker that was idle for long, before a start."),
		losses:           f.counterVec("gannetwell_attempts_lost_total", "Attempts that were lost, by how.", "outcome"),
		jobs:             f.counterVec("gannetwell_jobs_total", "Jobs by what became of them.", "outcome"),
		keysRefused:      f.counterVec("gannetwell_keys_refused_total", "Calls that were refused for their key, by answer.", "outcome"),
		clientsRefused:   f.counterVec("gannetwell_clients_refused_total", "Clients beyond a limit whose request was not read or whose connection was closed, by limit.", "why"),
		malformedRows:    f.counterVec("gannetwell_rows_malformed_total", "Rows that could not be read, by table.", "table"),
		atLimit:          f.counterVec("gannetwell_account_at_limit_total", "Seconds in which a shard held tasks of a client account back for its limit.", "account"),
		predecessorWait:  f.histogramVec("gannetwell_predecessor_wait_seconds", "Time after a takeover in which the owner before could act still, by how that ended.", "end", prometheus.ExponentialBuckets(0.005, 2, 10)),
		evacuatedZones:   f.gauge("gannetwell_zones_out", "Availability zones that the operator has taken out of use."),
		coldWorkers:      f.gauge("gannetwell_workers_cold", "Workers that say that they are slow after a start; known to entries that own a shard."),
		waveVMs:          f.gaugeVec("gannetwell_wave_vms", "VMs of open maintenance waves by phase, at the holder of the fleet operations.", "phase"),
		wavesAtRisk:      f.gauge("gannetwell_waves_at_risk", "Open maintenance waves that can't end in time, at the holder of the fleet operations."),
		waveVMsLearned:   f.counter("gannetwell_wave_vms_learned_total", "VMs of maintenance waves of which a holder of the fleet operations learned from other entries that they were done or ordered."),
		poolsShort:       f.gauge("gannetwell_pools_short", "Pools with fewer VMs than their target size; 0 at an entry that does not own the fleet operations."),
		shareLevel:       f.gaugeVec("gannetwell_vms_short", "1 for the first kind of need that does not fit into the VMs of all pools.", "level"),
		labelledAccounts: map[string]bool{},
	}
}

// metricFactory creates metrics in a registry; those with Vec in their name have one label.
type metricFactory struct{ promauto.Factory }

func (f metricFactory) counter(name, help string) prometheus.Counter {
	return f.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func (f metricFactory) counterVec(name, help, label string) *prometheus.CounterVec {
	return f.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
}

func (f metricFactory) gauge(name, help string) prometheus.Gauge {
	return f.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func (f metricFactory) gaugeVec(name, help, label string) *prometheus.GaugeVec {
	return f.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{label})
}

func (f metricFactory) histogramVec(name, help, label string, buckets []float64) *prometheus.HistogramVec {
	return f.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, []string{label})
}

// handler serves the metrics in the Prometheus text format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Commit observes the time and outcome of a transaction.
func (m *metrics) Commit(d time.Duration, err error) {
	m.commits.WithLabelValues(outcome(err)).Observe(d.Seconds())
}

// Poll counts a poll of a worker, which renews its lease.
func (m *metrics) Poll(err error) { m.leaseRenewals.WithLabelValues(outcome(err)).Inc() }

// Order counts an order to start, stop or throttle an attempt by outcome.
func (m *metrics) Order(err error) { m.orders.WithLabelValues(outcome(err)).Inc() }

// End counts the end of an attempt by reason.
func (m *metrics) End(reason platform.EndReason) { m.attemptEnds.WithLabelValues(string(reason)).Inc() }

// StaleEnd counts an end that a worker lists again after it was acknowledged.
func (m *metrics) StaleEnd() { m.staleEnds.Inc() }

// EndsCut counts a report that may lack ends.
func (m *metrics) EndsCut() { m.endsCut.Inc() }

// QueueMoved counts a queue that came to the shard or left it.
func (m *metrics) QueueMoved(here bool) {
	direction := "left"
	if here {
		direction = "came"
	}
	m.queueMoves.WithLabelValues(direction).Inc()
}

// ClockRead counts a poll that reads a worker's clock before a start.
func (m *metrics) ClockRead() { m.clockReads.Inc() }

// AttemptLost counts an attempt that is gone although its worker reported no end of it.
func (m *metrics) AttemptLost(kind shard.LossKind) { m.losses.WithLabelValues(string(kind)).Inc() }

// PredecessorDone observes the wait, after a takeover, until the predecessor can no longer act.
func (m *metrics) PredecessorDone(end shard.PredecessorEnd, waited time.Duration) {
	m.predecessorWait.WithLabelValues(string(end)).Observe(waited.Seconds())
}

// Job counts a job by event.
func (m *metrics) Job(event string) { m.jobs.WithLabelValues(event).Inc() }

// AccountAtLimit counts a second in which a shard held back tasks of an account at its limit.
func (m *metrics) AccountAtLimit(account string) {
	m.atLimit.WithLabelValues(m.accountLabel(account)).Inc()
}

// TimeoutsChanged counts a change between usual and short timeouts of calls to workers.
func (m *metrics) TimeoutsChanged(short bool) {
	to := "usual"
	if short {
		to = "short"
	}
	m.timeouts.WithLabelValues(to).Inc()
}

// RowMalformed counts a row that cannot be decoded.
func (m *metrics) RowMalformed(table string) { m.malformedRows.WithLabelValues(table).Inc() }

// Waves sets the progress of the open maintenance waves.
func (m *metrics) Waves(all []fleetops.WaveStatus) {
	var sum fleetops.WaveStatus
	atRisk := 0
	for i := range all {
		sum.Waiting += all[i].Waiting
		sum.Draining += all[i].Draining
		sum.Down += all[i].Down
		sum.Done += all[i].Done
		if all[i].AtRisk {
			atRisk++
		}
	}
	m.wavesAtRisk.Set(float64(atRisk))
	for phase, n := range map[string]int{"waiting": sum.Waiting, "draining": sum.Draining, "down": sum.Down, "done": sum.Done} {
		m.waveVMs.WithLabelValues(phase).Set(float64(n))
	}
}

// WaveVMsLearned counts VMs of waves that were done or ordered by a former holder.
func (m *metrics) WaveVMsLearned(vms int) { m.waveVMsLearned.Add(float64(vms)) }

// VMShares sets the gauges of pools that are short of VMs.
func (m *metrics) VMShares(s fleetops.Shares) {
	m.poolsShort.Set(float64(s.CountBelowTarget()))
	m.shareLevel.Reset()
	if s.Level != fleetops.LevelNone {
		m.shareLevel.WithLabelValues(string(s.Level)).Set(1)
	}
}

// accountLabel returns the label of an account, otherAccounts once maxAccountLabels are in use.
func (m *metrics) accountLabel(account string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labelledAccounts[account] {
		if len(m.labelledAccounts) >= maxAccountLabels {
			return otherAccounts
		}
		m.labelledAccounts[account] = true
	}
	return account
}

// outcome returns the metric label of a result.
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
