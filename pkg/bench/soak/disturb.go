package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// Disturbance is a kind of fault that a soak brings about.
type Disturbance string

// Values of Disturbance.
const (
	KillEntry       Disturbance = "kill_entry"
	StopEntry       Disturbance = "stop_entry"
	PauseEntry      Disturbance = "pause_entry"
	ReloadEntry     Disturbance = "reload_entry"
	RollingRestart  Disturbance = "rolling_restart"
	StoreLink       Disturbance = "store_link"  // of one entry
	WorkerLink      Disturbance = "worker_link" // of one worker
	CrashWorker     Disturbance = "crash_worker"
	DrainWorker     Disturbance = "drain_worker"
	StoreFault      Disturbance = "store_fault"
	StoreOutage     Disturbance = "store_outage" // long, after jobs of many short tasks
	SlowStore       Disturbance = "slow_store"
	ForgetHistory   Disturbance = "forget_history"
	NewCatalog      Disturbance = "new_catalog"
	MoveQueue       Disturbance = "move_queue" // to the other pool, under another name
	IncompleteLists Disturbance = "incomplete_lists"
	LateCalls       Disturbance = "late_calls" // to every second worker: those under way arrive after newer ones
)

// event is a drawn disturbance.
type event struct {
	at     time.Duration // since the start
	kind   Disturbance
	target int
	lasts  time.Duration
	link   LinkState
	fault  fake.Fault
	share  float64 // of the calls with the fault
}

// String describes the event with what its kind uses.
func (e event) String() string {
	text := fmt.Sprintf("%s %d for %s", e.kind, e.target, e.lasts.Round(time.Millisecond))
	switch e.kind {
	case StoreLink, WorkerLink, LateCalls:
		return text + " " + string(e.link)
	case StoreFault:
		return fmt.Sprintf("%s %s share %g", text, e.fault, e.share)
	default:
		return text
	}
}

// Times of disturbances.
const (
	warmUp       = 2 * time.Second // without disturbances
	meanGap      = 600 * time.Millisecond
	maxLength    = 5 * time.Second
	drainTime    = 2 * time.Second
	rollingGap   = 300 * time.Millisecond
	rollingLimit = 25 * time.Second // after which a rolling restart leaves the other entries as they are
	maxSeries    = 4
	slowStoreMs  = 80
	reportsSpan  = 4                       // of incomplete lists: one item from every second to fifth report
	seriesDivide = 3                       // one disturbance in so many starts a series
	meanMoveGap  = 2 * time.Second         // between two moves of the queue
	meanLateGap  = 1500 * time.Millisecond // between two late_calls
	outageGap    = 8 * time.Second         // from the start of an outage to that of the next
	minOutage    = 3 * time.Second
	minBurst     = 3                      // jobs of many tasks before an outage, or one more
	burstTime    = 300 * time.Millisecond // in which these are accepted and begin
)

// drawEvents draws the disturbances of a soak. Reports omit items or go unanswered, not both, since a single
// report decides on a start that got no answer.
func drawEvents(rnd *rand.Rand, o Options) (events []event) {
	kinds := []Disturbance{
		KillEntry, StopEntry, PauseEntry, PauseEntry, ReloadEntry, RollingRestart, StoreLink, StoreLink, CrashWorker,
		DrainWorker, StoreFault, SlowStore, ForgetHistory, NewCatalog,
	}
	unanswered := rnd.IntN(2) != 0
	if unanswered {
		kinds = append(kinds, WorkerLink, WorkerLink, WorkerLink)
	} else {
		kinds = append(kinds, IncompleteLists, IncompleteLists)
	}
	for at := warmUp; at < o.Length; {
		e := event{kind: kinds[rnd.IntN(len(kinds))]}
		repeat := 1
		if rnd.IntN(seriesDivide) == 0 {
			repeat = 1 + rnd.IntN(maxSeries)
		}
		for range repeat {
			e.at, e.target, e.lasts = at, rnd.IntN(1<<16), time.Duration(rnd.Int64N(int64(maxLength)))
			e.link = []LinkState{LinkSlow, LinkCutThere, LinkCutBack, LinkSilent, LinkReset}[rnd.IntN(5)]
			e.fault = []fake.Fault{fake.FaultDown, fake.FaultLostBefore, fake.FaultLostAfter, fake.FaultLate}[rnd.IntN(4)]
			e.share = []float64{0.05, 0.3, 1}[rnd.IntN(3)]
			events = append(events, e)
			at += time.Duration(rnd.Int64N(int64(2 * meanGap)))
		}
	}
	if unanswered {
		events = append(events, drawLateCalls(o)...)
	}
	if o.Moves {
		events = append(events, drawMoves(o)...)
	}
	if o.Outages {
		events = append(events, drawOutages(o)...)
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// drawOutages draws long outages of the table service, apart from the other disturbances.
func drawOutages(o Options) (events []event) {
	const stream = 1<<32 + 1 // of the seed, beyond that of late calls
	rnd := rand.New(rand.NewPCG(o.Seed, stream))
	for at := warmUp; at < o.Length; at += outageGap {
		events = append(events, event{at: at, kind: StoreOutage, target: rnd.IntN(1 << 16), lasts: minOutage + time.Duration(rnd.Int64N(int64(maxLength-minOutage)))})
	}
	return events
}

// drawMoves draws moves of the queue between the pools, apart from the other disturbances.
func drawMoves(o Options) (events []event) {
	const stream = 1<<32 + 2 // of the seed, beyond that of outages
	rnd := rand.New(rand.NewPCG(o.Seed, stream))
	target := 1 // the pools take turns
	for at := warmUp; at < o.Length; at += time.Duration(rnd.Int64N(int64(2 * meanMoveGap))) {
		events = append(events, event{at: at, kind: MoveQueue, target: target})
		target = 1 - target
	}
	return events
}

// drawLateCalls draws the times and workers of late calls, apart from the other disturbances.
func drawLateCalls(o Options) (events []event) {
	const stream = 1 << 32 // of the seed, beyond those of callers
	rnd := rand.New(rand.NewPCG(o.Seed, stream))
	for at := warmUp; at < o.Length; at += time.Duration(rnd.Int64N(int64(2 * meanLateGap))) {
		events = append(events, event{
			at: at, kind: LateCalls, target: rnd.IntN(1 << 16), link: LinkHeld, lasts: time.Duration(rnd.Int64N(int64(maxLength))),
		})
	}
	return events
}

// disturb carries out one disturbance and ends it.
func (s *soak) disturb(e event) error {
	entry := s.entries[e.target%len(s.entries)]
	vm := e.target % len(s.links)
	defer s.markWorkers(e, vm)()
	switch e.kind {
	case KillEntry:
		entry.kill()
		s.wait(e.lasts / 2)
		return entry.start()
	case StopEntry:
		entry.stop()
		s.wait(e.lasts / 4)
		return entry.start()
	case PauseEntry:
		entry.pause()
		s.wait(e.lasts)
		entry.resume()
	case ReloadEntry:
		entry.signal(syscall.SIGHUP)
	case RollingRestart:
		return s.restartAll()
	case StoreLink:
		s.holdLink(entry.store, e)
	case WorkerLink:
		s.holdLink(s.links[vm], e)
	case LateCalls:
		s.delayCalls(e)
	case CrashWorker:
		s.commandFor(e.lasts, Command{Do: DoCrash, VM: vm}, Command{Do: DoBoot, VM: vm})
	case DrainWorker:
		drain := Command{Do: DoDrain, VM: vm, Ms: int(drainTime.Milliseconds())}
		s.commandFor(drainTime+e.lasts, drain, Command{Do: DoBoot, VM: vm})
	case StoreFault:
		s.commandFor(e.lasts/2, Command{Do: DoStore, Fault: e.fault, Share: e.share}, Command{Do: DoStore})
	case StoreOutage:
		s.failStoreAfterBurst(e)
	case SlowStore:
		s.commandFor(e.lasts, Command{Do: DoSlowStore, Ms: slowStoreMs}, Command{Do: DoSlowStore})
	case ForgetHistory:
		s.command(Command{Do: DoForget})
	case MoveQueue:
		s.command(Command{Do: DoMoveQueue, Pool: []string{queue.Pool, otherPool}[e.target]})
	case NewCatalog:
		s.command(Command{Do: DoCatalog})
	case IncompleteLists:
		s.commandFor(e.lasts, Command{Do: DoOmit, N: 2 + e.target%reportsSpan}, Command{Do: DoOmit})
	}
	return nil
}

// commandFor sends the stand-in the command that begins a fault, and after a time the one that ends it.
func (s *soak) commandFor(d time.Duration, begin, end Command) {
	s.command(begin)
	s.wait(d)
	s.command(end)
}

// failStoreAfterBurst submits jobs of many tasks and takes the table service away when they have begun.
func (s *soak) failStoreAfterBurst(e event) {
	select {
	case s.bursts <- minBurst + e.target%2:
		s.wait(burstTime)
	case <-s.ctx.Done():
		return
	}
	s.commandFor(e.lasts, Command{Do: DoStoreDown, N: 1}, Command{Do: DoStoreDown})
}

// markWorkers tells the checker at which workers a disturbance may make leases lapse, and returns what
// tells it the end. Late calls leave a worker reachable. While lists lack items, what a list lacks may be
// taken for not there.
func (s *soak) markWorkers(e event, vm int) (end func()) {
	switch {
	case e.kind == WorkerLink && e.link != LinkSlow:
		return s.check.disturbing(vmName(vm), shortestLapse)
	case e.kind == CrashWorker, e.kind == DrainWorker:
		return s.check.disturbing(vmName(vm), 0)
	case e.kind == IncompleteLists:
		return s.check.disturbing(allVMs, 0)
	default:
		return func() {}
	}
}

// holdLink sets the state of a link for a time.
func (s *soak) holdLink(p *proxy, e event) {
	p.setState(e.link)
	s.wait(e.lasts)
	p.setState(LinkUp)
}

// delayCalls holds what is under way to every second worker for a time.
func (s *soak) delayCalls(e event) {
	var all sync.WaitGroup
	for vm := e.target % 2; vm < len(s.links); vm += 2 {
		all.Go(func() { s.holdLink(s.links[vm], e) })
	}
	all.Wait()
}

// restartAll stops and starts the entries, one after the other, as many as the time allows.
func (s *soak) restartAll() error {
	begun := time.Now()
	for _, e := range s.entries {
		if time.Since(begun) > rollingLimit {
			return nil
		}
		e.stop()
		if err := e.start(); err != nil {
			return err
		}
		s.wait(rollingGap)
	}
	return nil
}
