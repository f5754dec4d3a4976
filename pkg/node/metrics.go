package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
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
	m := &metrics{
		registry: prometheus.NewRegistry(),
		commits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gannetwell_commit_seconds", Help: "Time of transactions at the table service by outcome.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}, []string{"outcome"}),
		leaseRenewals: counter("gannetwell_looks_total", "Renewals of leases at workers by outcome."),
		orders:        counter("gannetwell_orders_total", "Starts and stops ordered at workers by outcome."),
		attemptEnds:   counter("gannetwell_ends_total", "Ends of attempts by reason."),
		timeouts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gannetwell_order_timeouts_changed_total", Help: "Changes between usual and short timeouts of calls to workers.",
		}, []string{"to"}),
		staleEnds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gannetwell_ends_passed_over_total", Help: "Ends that workers listed though they were told to forget them.",
		}),
		queueMoves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gannetwell_queue_moves_total", Help: "Queues that came to a shard of this entry, or left it, by direction.",
		}, []string{"direction"}),
		endsCut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gannetwell_reports_cut_total", Help: "Workers' reports that list as many ends as they can, so that others may be missing.",
		}),
		clockReads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gannetwell_clocks_read_total", Help: "Polls that read the clock of a worker that was idle for long, before a start.",
		}),
		losses:      counter("gannetwell_attempts_lost_total", "Attempts that were lost, by how."),
		jobs:        counter("gannetwell_jobs_total", "Jobs by what became of them."),
		keysRefused: counter("gannetwell_keys_refused_total", "Calls that were refused for their key, by answer."),
		clientsRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gannetwell_clients_refused_total", Help: "Clients beyond a limit whose request was not read or whose connection was closed, by limit.",
		}, []string{"why"}),
		malformedRows: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gannetwell_rows_malformed_total", Help: "Rows that could not be read, by table.",
		}, []string{"table"}),
		atLimit: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gannetwell_account_at_limit_total", Help: "Seconds in which a shard held tasks of a client account back for its limit.",
		}, []string{"account"}),
		predecessorWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gannetwell_predecessor_wait_seconds", Help: "Time after a takeover in which the owner before could act still, by how that ended.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}, []string{"end"}),
		evacuatedZones: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gannetwell_zones_out", Help: "Availability zones that the operator has taken out of use.",
		}),
		coldWorkers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gannetwell_workers_cold", Help: "Workers that say that they are slow after a start; known to entries that own a shard.",
		}),
		waveVMs: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "gannetwell_wave_vms", Help: "VMs of open maintenance waves by phase, at the holder of the fleet operations.",
		}, []string{"phase"}),
		wavesAtRisk: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gannetwell_waves_at_risk", Help: "Open maintenance waves that can't end in time, at the holder of the fleet operations.",
		}),
		waveVMsLearned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gannetwell_wave_vms_learned_total", Help: "VMs of maintenance waves of which a holder of the fleet operations learned from other entries that they were done or ordered.",
		}),
		poolsShort: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gannetwell_pools_short", Help: "Pools with fewer VMs than their target size; 0 at an entry that does not own the fleet operations.",
		}),
		shareLevel: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "gannetwell_vms_short", Help: "1 for the first kind of need that does not fit into the VMs of all pools.",
		}, []string{"level"}),
		labelledAccounts: map[string]bool{},
	}
	m.registry.MustRegister(m.commits, m.leaseRenewals, m.orders, m.attemptEnds, m.staleEnds, m.endsCut, m.queueMoves, m.clockReads, m.losses, m.jobs, m.keysRefused, m.clientsRefused, m.malformedRows, m.atLimit, m.timeouts, m.predecessorWait, m.evacuatedZones, m.coldWorkers, m.waveVMs, m.wavesAtRisk, m.waveVMsLearned, m.poolsShort, m.shareLevel, collectors.NewGoCollector())
	return m
}

// counter returns a counter with the label outcome.
func counter(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{"outcome"})
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
