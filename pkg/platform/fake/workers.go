package fake

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// forever is longer than any test.
const forever = 100 * time.Hour

// Work is what a task does at a worker.
type Work struct {
	Needs    platform.Resources
	Duration time.Duration // 0 to run until it is stopped
	Fails    bool          // at its end
	Crashes  bool          // it brings the worker down
	// CrashAfter is how long after its start it does so; with 0 the start gets no answer.
	CrashAfter time.Duration
}

// EndCrashed is told to the witness of an attempt that went with its boot; no worker reports it.
const EndCrashed platform.EndReason = "crashed"

// WorkersObserver is told what workers do; a test checks its promises by it.
type WorkersObserver interface {
	Started(boot, task string, attempt int64)
	Ended(boot, task string, attempt int64, reason platform.EndReason)
	Acked(boot, task string, reason platform.EndReason)
	// Overcommitted tells of a start for which the boot, which does not reject it, has no room.
	Overcommitted(boot, task string)
	// Crashed tells of a task that has brought the boot down.
	Crashed(boot, task string)
}

// Workers is a stand-in of the workers of a deployment.
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
	// blackhole has calls to boots that have ended go unanswered; else they are refused.
	blackhole bool
	// onCrash is told of boots that a task has brought down.
	onCrash func(info platform.Worker)
	boots   map[string]*boot
	// endOmissions are the numbers of ends that reports of a boot leave out, and in how many yet.
	endOmissions map[string]map[int64]int
	// omitEvery has one list of each boot in so many lack an entry, 0 for none.
	omitEvery int
	// allowOvercommit has workers start what does not fit, as those do that do not guard their capacity.
	allowOvercommit bool
}

// boot is one boot of a worker.
type boot struct {
	info           platform.Worker
	reportCount    int                 // that it has given
	omitted        map[attemptKey]bool // attempts that a list has lacked
	worker         string              // its ID, which a later boot may have as well
	bootedAtMs     int64               // in Unix milliseconds, 0 if it does not say
	start          time.Time
	drift          float64 // how much slower its clock runs, 0.02 for 2%
	dead           bool
	token          int64
	running        map[string]*attempt
	ended          []platform.AttemptEnd
	lastSeq        int64 // number of the last end
	ackedSeq       int64
	highestAttempt map[string]int64 // attempt that ended or was stopped here, by task
	leaseUntil     int64            // deadline by the worker's clock
	leaseTimer     *time.Timer
	free           platform.Resources
	pastCapacities []pastCapacity // it had, in order
	changed        chan struct{}
}

// NewWorkers returns no workers yet; orders take latency, those carried out late
// lateBy, and tasks stopTime to end once they are told to.
func NewWorkers(latency, lateDelay, stopTime time.Duration, work func(task, spec string) Work, w WorkersObserver) *Workers {
	return &Workers{
		latency: latency, lateDelay: lateDelay, stopTime: stopTime, work: work, observer: w,
		fault: func(OrderOp, string, string) Fault { return FaultNone }, boots: map[string]*boot{},
		onCrash: func(platform.Worker) {}, endOmissions: map[string]map[int64]int{},
	}
}

// SetJitter has each order take a delay of its own longer; it is called before the first one.
func (w *Workers) SetJitter(j *Jitter) { w.jitter = j }

// SetFault decides about each order from now on.
func (w *Workers) SetFault(f func(op OrderOp, boot, entry string) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetAllowOvercommit has workers start whatever they are told to, or reject what does not fit.
func (w *Workers) SetAllowOvercommit(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allowOvercommit = on
}

// SetBlackhole has workers that end fall silent, as those do that lose their power.
func (w *Workers) SetBlackhole(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blackhole = on
}

// SetOmitEvery has one list of each boot in every so many lack an entry, 0 for none: an end, or
// an attempt that runs. Each attempt is lacked once at most.
func (w *Workers) SetOmitEvery(every int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.omitEvery = every
}

// OmitEnd has the next reports of a boot that would list an end leave it out, so many times.
func (w *Workers) OmitEnd(name string, end int64, times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endOmissions[name] == nil {
		w.endOmissions[name] = map[int64]int{}
	}
	w.endOmissions[name][end] = times
}

// SetOnCrash names what is told of each boot that a task has brought down.
func (w *Workers) SetOnCrash(f func(info platform.Worker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCrash = f
}

// Boot starts a worker, in place of an earlier boot at the same address.
func (w *Workers) Boot(info platform.Worker, drift float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, old := range w.boots {
		if old.info.Address == info.Address {
			w.endBoot(old)
		}
	}
	worker, born := platform.ParseBootID(info.Boot)
	w.boots[info.Boot] = &boot{
		info: info, worker: worker, bootedAtMs: born, start: time.Now(), drift: drift, omitted: map[attemptKey]bool{}, running: map[string]*attempt{}, highestAttempt: map[string]int64{},
		free: info.Capacity, changed: make(chan struct{}),
	}
}

// capacityGrace is how long after its room has shrunk a start may still count on the room
// before: the directory tells of it with the next heartbeat, and owners may read it late.
const capacityGrace = 4500 * time.Millisecond

// SetCapacity changes what a boot has room for; what runs there runs on.
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

// pastCapacity is what a boot had room for until a time.
type pastCapacity struct {
	capacity platform.Resources
	until    time.Time
}

// fitsNowOrRecently tells whether a start fits what the boot has room for, or had a moment ago.
func (b *boot) fitsNowOrRecently(needs platform.Resources) bool {
	if needs.Fits(b.free) {
		return true
	}
	for _, f := range b.pastCapacities {
		if time.Since(f.until) <= capacityGrace && needs.Fits(b.free.Add(f.capacity).Sub(b.info.Capacity)) {
			return true
		}
	}
	return false
}

// resolve returns the boot that a call for a boot reaches: what a call names is the ID of the
// worker, under which another boot may have started. It is nil when that worker is not there.
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

// Reset closes the connections to a boot, so that looks that wait for an end fail at once.
func (w *Workers) Reset(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.boots[name]
	if b == nil {
		return
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// CurrentBoot returns the boot of a worker that is up, empty if there is none.
func (w *Workers) CurrentBoot(worker string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.lookup(worker); b != nil && !b.dead {
		return b.info.Boot
	}
	return ""
}

// lookup returns a boot, or the one that is up of a worker of that ID.
func (w *Workers) lookup(name string) *boot {
	for _, b := range w.boots {
		if b.worker == name && !b.dead {
			return b
		}
	}
	return w.boots[name]
}

// Crash ends a boot; what ran there is gone.
func (w *Workers) Crash(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.lookup(name); b != nil {
		w.endBoot(b)
	}
}

// crashBoot ends a boot that one of its tasks has brought down; calls under way there end at once.
func (w *Workers) crashBoot(b *boot, task string) {
	if b.dead {
		return
	}
	w.observer.Crashed(b.info.Boot, task)
	w.endBoot(b)
	close(b.changed)
	go w.onCrash(b.info)
}

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

// Running returns the tasks that run at a boot, in order.
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

func (b *boot) clock() int64 {
	return int64(float64(time.Since(b.start).Milliseconds()) * (1 - b.drift))
}

// SetStall decides for each task that starts from now on whether it stands still.
func (w *Workers) SetStall(f func(boot, task string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stall = f
}
