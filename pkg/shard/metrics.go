package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Metrics receives the counters of an owner.
type Metrics interface {
	// Commit counts an attempt to commit a transaction that took d.
	Commit(d time.Duration, err error)
	// Poll counts a poll of a worker.
	Poll(err error)
	// Order counts an order to start, stop or throttle an attempt.
	Order(err error)
	// End counts the end of an attempt that a worker reports.
	End(reason platform.EndReason)
	// StaleEnd counts an end that a worker lists after it was acknowledged.
	StaleEnd()
	// EndsCut counts a report that may lack ends.
	EndsCut()
	// ClockRead counts a poll that reads a worker's clock before a start.
	ClockRead()
	// PredecessorDone counts a completed wait until no former owner can act, and its duration.
	PredecessorDone(end PredecessorEnd, waited time.Duration)
	// AttemptLost counts an attempt that is gone although its worker reported no end of it.
	AttemptLost(kind LossKind)
	// RowMalformed counts a row that could not be decoded.
	RowMalformed(table string)
	// Job counts a state change of a job.
	Job(event string)
	// AccountAtLimit counts a second in which tasks of a client account waited because of its limit.
	AccountAtLimit(account string)
	// QueueMoved counts a queue that came to the shard or left it.
	QueueMoved(here bool)
	// TimeoutsChanged counts a change between usual and short timeouts of calls to workers.
	TimeoutsChanged(short bool)
}

// NoMetrics discards all counters, for tests and experiments.
type NoMetrics struct{}

var _ Metrics = NoMetrics{}

// Commit implements Metrics.
func (NoMetrics) Commit(time.Duration, error) {}

// Poll implements Metrics.
func (NoMetrics) Poll(error) {}

// Order implements Metrics.
func (NoMetrics) Order(error) {}

// End implements Metrics.
func (NoMetrics) End(platform.EndReason) {}

// StaleEnd implements Metrics.
func (NoMetrics) StaleEnd() {}

// EndsCut implements Metrics.
func (NoMetrics) EndsCut() {}

// QueueMoved implements Metrics.
func (NoMetrics) QueueMoved(bool) {}

// ClockRead implements Metrics.
func (NoMetrics) ClockRead() {}

// PredecessorDone implements Metrics.
func (NoMetrics) PredecessorDone(PredecessorEnd, time.Duration) {}

// AttemptLost implements Metrics.
func (NoMetrics) AttemptLost(LossKind) {}

// RowMalformed implements Metrics.
func (NoMetrics) RowMalformed(string) {}

// Job implements Metrics.
func (NoMetrics) Job(string) {}

// AccountAtLimit implements Metrics.
func (NoMetrics) AccountAtLimit(string) {}

// TimeoutsChanged implements Metrics.
func (NoMetrics) TimeoutsChanged(bool) {}
