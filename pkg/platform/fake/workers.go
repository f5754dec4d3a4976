package fake

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// forever exceeds the run time of any test.
const forever = 100 * time.Hour

// Work describes the behavior of a task on a worker.
type Work struct {
	Needs    platform.Resources
	Duration time.Duration // 0 to run until stopped
	Fails    bool          // ends with EndFailed instead of EndDone
	Crashes  bool          // crashes the worker
	// CrashAfter is the time from the start to the crash; if 0, the start order gets no answer.
	CrashAfter time.Duration
	SaveEvery  time.Duration // work between two checkpoints, 0 for none
}

// EndCrashed is the reason given to the observer for attempts that ended with their boot. It is
// never reported by a worker.
const EndCrashed platform.EndReason = "crashed"

// WorkersObserver is notified of what happens on the workers.
type WorkersObserver interface {
	// Started is called when an attempt starts, from a checkpoint unless that is empty.
	Started(boot, task string, attempt int64, checkpoint string)
	// Ended is called when an attempt ends, before the end is reported.
	Ended(boot, task string, attempt int64, reason platform.EndReason)
	// Acked is called when a renewal acknowledges an end. counts is false if the boot's leases have expired
	// since that end, or if [Workers.OmitEnd] still keeps it from the reports.
	Acked(boot string, end platform.AttemptEnd, counts bool)
	// Overcommitted is called for a start that exceeds the capacity of a boot that accepts it anyway.
	Overcommitted(boot, task string)
	// Crashed is called for a task that has crashed its boot.
	Crashed(boot, task string)
}

// Workers is an in-memory platform.Workers; entries reach it through [Workers.As].
type Workers struct {
	latency   time.Duration
	lateDelay time.Duration
	stopTime  time.Duration
	jitter    *Jitter
	work      func(task, spec string) Work
	observer  WorkersObserver

	mu    sync.Mutex
	fault func(op OrderOp, boot, entry string) Fault
	stall func(boot, task string) bool
	// blackhole makes calls to ended boots time out instead of being refused.
	blackhole bool
	// onCrash is called with each boot that a task has crashed.
	onCrash func(info platform.Worker)
	boots   map[string]*boot
	// endOmissions counts, by boot and sequence number, the reports that must still omit the end.
	endOmissions map[string]map[int64]int
	// maxListedEnds is how many ends a report lists, the first ones.
	maxListedEnds int
	// lateAtNextBoot makes late orders reach the boot that is there when they are carried out.
	lateAtNextBoot bool
	// omitEvery makes every n-th report of a boot omit one attempt, 0 for none.
	omitEvery int
	// allowOvercommit makes workers start attempts that exceed their capacity.
	allowOvercommit bool
	// unfenced makes workers accept any fencing token.
	unfenced bool
	// forgetListed makes workers forget ends that they have listed once.
	forgetListed bool
}

// boot is one boot of a worker.
type boot struct {
	info           platform.Worker
	reportCount    int                 // number of reports sent
	omitted        map[attemptKey]bool // attempts that a report has omitted
	worker         string              // worker ID, which later boots may share
	bootedAtMs     int64               // Unix milliseconds, 0 if unknown
	start          time.Time
	drift          float64 // fraction by which its clock runs slow, 0.02 for 2%
	coldUntil      time.Time
	coldSpeed      float64   // of tasks started before coldUntil, as a fraction of the normal speed
	endsAt         time.Time // when it says that it will end, zero if it does not
	dead           bool
	token          int64
	running        map[string]*attempt
	ended          []platform.AttemptEnd
	lastSeq        int64 // sequence number of the last end
	ackedSeq       int64
	lapsedSeq      int64            // last end before the leases expired last
	highestAttempt map[string]int64 // highest attempt that ended or was stopped here, by task
	leaseUntil     int64            // in ms of the worker's clock
	leaseTimer     *time.Timer
	free           platform.Resources
	pastCapacities []pastCapacity // ordered by time
	changed        chan struct{}
}

// NewWorkers returns a Workers without boots. Orders take latency, lateDelay is added for
// FaultLate, and a task ends stopTime after its stop order. work gives the behavior of a task.
func NewWorkers(latency, lateDelay, stopTime time.Duration, work func(task, spec string) Work, w WorkersObserver) *Workers {
	return &Workers{
		latency: latency, lateDelay: lateDelay, stopTime: stopTime, work: work, observer: w,
		fault: func(OrderOp, string, string) Fault { return FaultNone }, boots: map[string]*boot{},
		onCrash: func(platform.Worker) {}, endOmissions: map[string]map[int64]int{}, maxListedEnds: MaxListedEnds,
	}
}

// MaxListedEnds is how many ends a report lists unless [Workers.SetMaxListedEnds] says otherwise.
const MaxListedEnds = 500

// SetJitter adds jitter to each order; it must be called before the first order.
func (w *Workers) SetJitter(j *Jitter) { w.jitter = j }

// locked runs f with the mutex held.
func (w *Workers) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// SetFault sets the function that selects the fault of each order.
func (w *Workers) SetFault(f func(op OrderOp, boot, entry string) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetAllowOvercommit sets whether workers start attempts that exceed their capacity.
func (w *Workers) SetAllowOvercommit(on bool) { w.locked(func() { w.allowOvercommit = on }) }

// SetUnfenced sets whether workers accept orders with any fencing token, which the platform promises not to do.
func (w *Workers) SetUnfenced(on bool) { w.locked(func() { w.unfenced = on }) }

// SetForgetListed sets whether workers forget ends that they have listed once, which the platform promises
// not to do.
func (w *Workers) SetForgetListed(on bool) { w.locked(func() { w.forgetListed = on }) }

// SetLateAtNextBoot sets the delay of late orders, and has them reach the boot that is there by then.
func (w *Workers) SetLateAtNextBoot(delay time.Duration) {
	w.locked(func() { w.lateDelay, w.lateAtNextBoot = delay, true })
}

// SetMaxListedEnds sets how many ends a report lists.
func (w *Workers) SetMaxListedEnds(n int) { w.locked(func() { w.maxListedEnds = n }) }

// SetBlackhole sets whether orders to ended boots time out, as after a power loss, instead of being refused.
func (w *Workers) SetBlackhole(on bool) { w.locked(func() { w.blackhole = on }) }

// SetOmitEvery makes every n-th report of a boot omit one ended or running attempt, 0 for none.
// Each attempt is omitted at most once.
func (w *Workers) SetOmitEvery(every int) { w.locked(func() { w.omitEvery = every }) }

// OmitEnd makes the next reports of a boot omit the end with a sequence number, as often as times.
func (w *Workers) OmitEnd(name string, seq int64, times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endOmissions[name] == nil {
		w.endOmissions[name] = map[int64]int{}
	}
	w.endOmissions[name][seq] = times
}

// SetOnCrash sets the function called with each boot that a task has crashed.
func (w *Workers) SetOnCrash(f func(info platform.Worker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCrash = f
}

// Boot starts a boot of a worker and ends an earlier one at the same address. drift is the fraction
// by which its clock runs slow.
func (w *Workers) Boot(info platform.Worker, drift float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, old := range w.boots {
		if old.info.Address == info.Address {
			w.endBoot(old)
		}
	}
	worker, bootedAtMs := platform.ParseBootID(info.Boot)
	w.boots[info.Boot] = &boot{
		info: info, worker: worker, bootedAtMs: bootedAtMs, start: time.Now(), drift: drift, omitted: map[attemptKey]bool{}, running: map[string]*attempt{}, highestAttempt: map[string]int64{},
		free: info.Capacity, changed: make(chan struct{}),
	}
}

// capacityGrace is how long a start may still rely on a boot's capacity before a reduction, which
// owners learn from the worker's next row in the directory.
const capacityGrace = 4500 * time.Millisecond

// SetCapacity changes the capacity of a boot; its running attempts continue.
func (w *Workers) SetCapacity(name string, capacity platform.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.lookup(name)
	if b == nil || b.dead {
		return
	}
	b.pastCapacities = append(b.pastCapacities, pastCapacity{capacity: b.info.Capacity, until: time.Now()})
	b.free = b.free.Add(capacity).Sub(b.info.Capacity)
	b.info.Capacity = capacity
}

// pastCapacity is a capacity that a boot had until a time.
type pastCapacity struct {
	capacity platform.Resources
	until    time.Time
}

// fitsNowOrRecently reports whether needs fit into the boot's current capacity or one within capacityGrace.
func (b *boot) fitsNowOrRecently(needs platform.Resources) bool {
	if needs.Fits(b.free) {
		return true
	}
	for _, past := range b.pastCapacities {
		if time.Since(past.until) <= capacityGrace && needs.Fits(b.free.Add(past.capacity).Sub(b.info.Capacity)) {
			return true
		}
	}
	return false
}

// resolve returns the live boot that receives an order: the referenced one, or another boot of the
// same worker ID at the same address. It returns nil if there is none.
func (w *Workers) resolve(ref platform.WorkerRef) *boot {
	if b := w.boots[ref.Boot]; b != nil && !b.dead {
		return b
	}
	worker, _ := platform.ParseBootID(ref.Boot)
	for _, b := range w.boots {
		if !b.dead && b.worker == worker && b.info.Address == ref.Address {
			return b
		}
	}
	return nil
}

// CloseConnections closes the connections to a boot, so that renewals waiting for an end return at once.
func (w *Workers) CloseConnections(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.boots[name]
	if b == nil {
		return
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// CurrentBoot returns the ID of a worker's live boot, empty if there is none.
func (w *Workers) CurrentBoot(worker string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.lookup(worker); b != nil && !b.dead {
		return b.info.Boot
	}
	return ""
}

// lookup returns a boot by its ID, or the live boot of a worker by the worker's ID.
func (w *Workers) lookup(name string) *boot {
	for _, b := range w.boots {
		if b.worker == name && !b.dead {
			return b
		}
	}
	return w.boots[name]
}

// Crash ends a boot and its attempts without reports.
func (w *Workers) Crash(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.lookup(name); b != nil {
		w.endBoot(b)
	}
}

// Forget ends an attempt at a boot without an end, so that no report lists it any more.
func (w *Workers) Forget(name, task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.lookup(name)
	if b == nil || b.running[task] == nil {
		return
	}
	a := b.running[task]
	a.timer.Stop()
	delete(b.running, task)
	b.free = b.free.Add(a.needs)
	b.highestAttempt[task] = max(b.highestAttempt[task], a.number)
	w.observer.Ended(b.info.Boot, task, a.number, EndCrashed)
}

// AnnounceEnd makes a boot report that it drains and for how long it runs at least. It does not end by
// itself.
func (w *Workers) AnnounceEnd(name string, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.lookup(name); b != nil {
		b.endsAt = time.Now().Add(after)
	}
}

// FailLongRunning ends the attempts at a boot that would run until stopped, as failed.
func (w *Workers) FailLongRunning(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.lookup(name)
	if b == nil {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(b.running)) {
		if a := b.running[task]; a.duration == 0 {
			w.finishLocked(b, task, a, platform.EndFailed)
		}
	}
}

// crashBoot ends a boot because of one of its tasks; pending calls to it end at once.
func (w *Workers) crashBoot(b *boot, task string) {
	if b.dead {
		return
	}
	w.observer.Crashed(b.info.Boot, task)
	w.endBoot(b)
	close(b.changed)
	go w.onCrash(b.info)
}

// endBoot ends a boot and its attempts. The caller holds mu.
func (w *Workers) endBoot(b *boot) {
	if b.dead {
		return
	}
	b.dead = true
	for _, task := range slices.Sorted(maps.Keys(b.running)) {
		a := b.running[task]
		a.timer.Stop()
		w.observer.Ended(b.info.Boot, task, a.number, EndCrashed)
	}
	b.running = map[string]*attempt{}
}

// Running returns the sorted IDs of the tasks that run on a boot.
func (w *Workers) Running(name string) (tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.lookup(name); b != nil {
		for t := range b.running {
			tasks = append(tasks, t)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// SetCold makes a boot run tasks that start from now on slowly for a time, at a fraction of their normal
// speed. It returns the boot's clock.
func (w *Workers) SetCold(name string, left time.Duration, speed float64) (clockMs int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.lookup(name)
	if b == nil {
		return platform.ClockUnknown
	}
	b.coldUntil, b.coldSpeed = time.Now().Add(left), speed
	return b.clock()
}

// clock returns the worker's clock in ms.
func (b *boot) clock() int64 {
	return int64(float64(time.Since(b.start).Milliseconds()) * (1 - b.drift))
}

// SetStall sets the function that selects, at its start, whether a task stalls after a quarter
// of its duration.
func (w *Workers) SetStall(f func(boot, task string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stall = f
}
