package shard

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Waits of callers.
const (
	// submitWait is how long a submission waits for its row before its outcome is told as unknown.
	submitWait = 1500 * time.Millisecond
	// takeoverRead bounds the reads of a takeover.
	takeoverRead = 3 * time.Second
	// upkeepInterval is how often leases, stops and finished jobs are gone through.
	upkeepInterval = 150 * time.Millisecond
)

// rackLabel is how labels that name a rack begin.
const rackLabel = "r"

// Metrics counts what an owner does.
type Metrics interface {
	Commit(d time.Duration, err error)
	Look(err error)
	Order(err error)
	End(reason platform.EndReason)
	Job(event string)
}

// Config is what an owner works with.
type Config struct {
	Pool      string
	Self      Identity
	Rows      platform.Rows
	Workers   platform.Workers
	Machines  platform.Machines
	Adviser   platform.Adviser
	Metrics   Metrics
	Log       zerolog.Logger
	Retention time.Duration // how long final jobs can be asked for
	Since     time.Time     // origin of the owner's clock
	OnOver    func(error)   // called once when the shard is given up
	Sending   func()        // called before the takeover's transaction is sent
}

// finalJob is a job to be forgotten after the retention.
type finalJob struct {
	id string
	at time.Duration
}

// Owner owns one shard until it is given up or another entry takes it over.
type Owner struct {
	pool     string
	self     Identity
	rows     platform.Rows
	workers  platform.Workers
	machines platform.Machines
	adviser  platform.Adviser
	metrics  Metrics
	log      zerolog.Logger
	retain   time.Duration
	since    time.Time
	onOver   func(error)
	term     int64
	claim    Claim

	placeWake  chan struct{}
	commitWake chan struct{}
	urgentWake chan struct{}

	mu            sync.Mutex
	ctx           context.Context
	cancel        context.CancelFunc
	over          bool
	releasing     bool // it is being handed over: nothing new is begun
	book          *jobs.Book
	sessions      map[string]*session
	catalog       *catalog.Catalog
	confirmedAt   time.Duration // when this entry certainly was the owner
	askedMachines time.Duration // when the VM list was last asked for, 0 for never
	asking        bool          // the owner row is being read
	unconfirmed   bool          // that was said in the log
	held          bool          // a worker of a former owner has not been heard
	openedAt      time.Duration // when this entry took over
	heldTo        time.Duration // when its leases have run out

	pending        map[string]*submission
	queued         []*submission
	dirty          map[*jobs.Job]struct{}
	drops          []string
	finals         []finalJob
	waiters        map[*jobs.Job][]chan Outcome
	workersChanged bool
	urgent         bool
	advices        map[*jobs.StepRun]*advice
	durations      map[string]*learned // by queue
	committing     bool                // a transaction is under way
	loadLogged     time.Duration
	idleTasks      bool // tasks wait for room, or for a time
	troubled       bool
	chain          int64 // version of the commit row
	seq            int64
	wg             sync.WaitGroup
}

// Open takes the shard over, if its owner row still has the version seen, reads
// what is kept and starts to own it.
func Open(ctx context.Context, cfg Config, seen int64, cat *catalog.Catalog, workers []platform.Worker) (o *Owner, err error) {
	ctx, done := context.WithTimeout(ctx, takeoverRead)
	defer done()
	c, err := TakeOver(ctx, cfg.Rows, cfg.Pool, cfg.Self, seen, cfg.Sending)
	if err != nil {
		return nil, err
	}
	now := time.Since(cfg.Since)
	k, err := readKept(ctx, cfg.Rows, cfg.Pool, c.Term, now)
	if err != nil {
		return nil, err
	}
	o = &Owner{
		pool: cfg.Pool, self: cfg.Self, rows: cfg.Rows, workers: cfg.Workers, machines: cfg.Machines, adviser: cfg.Adviser, metrics: cfg.Metrics,
		log: cfg.Log.With().Str("pool", cfg.Pool).Int64("term", c.Term).Logger(), retain: cfg.Retention,
		since: cfg.Since, onOver: cfg.OnOver, term: c.Term, claim: c, chain: c.chain,
		placeWake: make(chan struct{}, 1), commitWake: make(chan struct{}, 1), urgentWake: make(chan struct{}, 1),
		book: k.book, sessions: map[string]*session{}, catalog: cat,
		pending: map[string]*submission{}, dirty: map[*jobs.Job]struct{}{}, waiters: map[*jobs.Job][]chan Outcome{}, durations: map[string]*learned{}, advices: map[*jobs.StepRun]*advice{},
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.start(k, workers, now)
	return o, nil
}

func (o *Owner) start(k kept, workers []platform.Worker, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	jobCount := 0
	o.book.All(func(j *jobs.Job) {
		jobCount++
		if j.State.Final() {
			o.finals = append(o.finals, finalJob{id: j.ID, at: now})
		}
	})
	for _, w := range k.workers {
		s := o.addSession(platform.WorkerRef{Boot: w.Boot, Address: w.Address}, w.VM)
		s.recorded = true
		o.held = true
	}
	o.heldTo = o.formerLeasesEnd(now)
	o.confirmedAt = now
	o.openedAt = now
	o.setWorkers(workers)
	o.log.Info().Str("event", "shard_owned").Int("jobs", jobCount).Int("active", len(o.book.Active())).
		Int("workers", len(o.sessions)).Int("leased", len(k.workers)).Send()
	o.checkHeld()
	o.wg.Go(func() { o.commitLoop(o.ctx) })
	o.wg.Go(func() { o.placeLoop(o.ctx) })
	o.wg.Go(func() { o.upkeepLoop(o.ctx) })
	o.kickPlacement()
}

// formerLeasesEnd is when the longest lease of a former owner has run out.
func (o *Owner) formerLeasesEnd(now time.Duration) time.Duration {
	return now + ConfirmedFor + time.Duration(float64(leaseLength.Nanoseconds())*(1+2*maxClockDrift)) + lapseSlack
}

func (o *Owner) now() time.Duration { return time.Since(o.since) }

// confirmed tells whether this entry may give leases and orders: it was the
// owner a short time ago, so a next one will wait for what is given now.
func (o *Owner) confirmed(now time.Duration) bool { return now-o.confirmedAt < ConfirmedFor }

// Confirm notes that this entry was the owner at a time on the owner's clock.
func (o *Owner) Confirm(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noteConfirmed(at)
}

func (o *Owner) noteConfirmed(at time.Duration) {
	if at <= o.confirmedAt {
		return
	}
	now := o.now()
	regained := !o.confirmed(now) && now-at < ConfirmedFor
	o.confirmedAt = at
	if regained {
		o.log.Info().Str("event", "ownership_confirmed").Dur("age", now-at).Send()
		o.kickPlacement()
		for _, s := range o.sessions {
			s.kick()
		}
	}
}

// askOwnership reads the owner row when nothing else has confirmed it of late,
// or while the table service is in trouble; the lock is held.
func (o *Owner) askOwnership(now time.Duration) {
	if o.asking || !o.troubled && now-o.confirmedAt < ConfirmedFor/2 {
		return
	}
	if !o.confirmed(now) && !o.unconfirmed {
		o.unconfirmed = true
		o.log.Warn().Str("event", "ownership_unconfirmed").Dur("age", now-o.confirmedAt).Send()
	}
	o.asking = true
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, answerTimeout)
		defer cancel()
		sentAt := o.now()
		row, err := ReadOwner(ctx, o.rows, o.pool)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.asking = false
		if err != nil {
			o.log.Debug().Str("event", "ownership_not_read").Err(err).Send()
			return
		}
		if row.Version != o.claim.OwnerVersion {
			o.giveUp(ErrNotOwner{Owner: OwnerRow{Entry: "the writer of a later owner row"}})
			return
		}
		o.unconfirmed = false
		if o.troubled && len(o.dirty) == 0 {
			// Nothing else would find out that transactions may be carried out again.
			o.noteTrouble(false, nil)
		}
		o.noteConfirmed(sentAt)
	})
}

// Term is the term of ownership.
func (o *Owner) Term() int64 { return o.term }

// RowVersion is the version of the owner row that this owner wrote.
func (o *Owner) RowVersion() int64 { return o.claim.OwnerVersion }

// Pool is the pool whose shard this is.
func (o *Owner) Pool() string { return o.pool }

// addSession starts to watch a boot.
func (o *Owner) addSession(ref platform.WorkerRef, vm string) *session {
	ctx, cancel := context.WithCancel(o.ctx)
	s := &session{
		ref: ref, vm: vm, attempts: map[string]*running{}, token: o.term*tokensPerTerm + 1,
		wake: make(chan struct{}, 1), cancel: cancel, lapsesAt: o.formerLeasesEnd(o.now()),
	}
	o.sessions[ref.Boot] = s
	o.wg.Go(func() { o.sessionLoop(ctx, s) })
	return s
}

// SetWorkers takes the directory's current boots of all pools.
func (o *Owner) SetWorkers(workers []platform.Worker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.over {
		o.setWorkers(workers)
	}
}

func (o *Owner) setWorkers(workers []platform.Worker) {
	listed := make(map[string]bool, len(workers))
	for _, w := range workers {
		if w.Pool != o.pool {
			continue
		}
		listed[w.Boot] = true
		s := o.sessions[w.Boot]
		if s == nil {
			s = o.addSession(platform.WorkerRef{Boot: w.Boot, Address: w.Address}, w.VM)
			o.workersChanged = true
			o.log.Info().Str("event", "worker_listed").Str("boot", w.Boot).Str("vm", w.VM).Str("address", w.Address).Send()
		}
		s.listed, s.info, s.vm = true, w, w.VM
		if w.Draining && !s.draining {
			s.draining = true
			o.log.Info().Str("event", "worker_draining").Str("boot", w.Boot).Send()
		}
	}
	for boot, s := range o.sessions {
		if s.listed && !listed[boot] {
			s.listed = false
			o.log.Info().Str("event", "worker_unlisted").Str("boot", boot).Send()
		}
		if s.listed {
			continue
		}
		if s.failures > 0 {
			o.expire(s)
		} else if s.known && s.idle() {
			o.bootEnded(s, "it is not listed and has nothing to do")
		}
	}
	if o.workersChanged {
		o.kickCommit()
	}
	o.kickPlacement()
}

// SetCatalog takes a new version of the configuration.
func (o *Owner) SetCatalog(c *catalog.Catalog) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.catalog = c
	o.kickPlacement()
}

// checkHeld sees whether tasks of a former owner may still be somewhere unseen.
func (o *Owner) checkHeld() {
	if !o.held {
		return
	}
	now := o.now()
	if now < o.heldTo {
		for _, s := range o.sessions {
			if s.recorded && !s.known && !s.gone {
				return
			}
		}
	}
	o.held = false
	o.log.Info().Str("event", "takeover_complete").Dur("after", now-(o.heldTo-o.formerLeasesEnd(0))).Send()
	o.kickPlacement()
}

// upkeepLoop goes through what is due by time.
func (o *Owner) upkeepLoop(ctx context.Context) {
	tick := time.NewTicker(upkeepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			o.upkeep()
		}
	}
}

func (o *Owner) upkeep() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	o.askOwnership(now)
	for _, s := range o.sessions {
		o.expire(s)
		o.repeatStops(s, now)
		if s.listed && !s.recorded && now >= s.cordonedTo {
			o.workersChanged = true
			o.kickCommit()
		}
		if s.draining {
			o.evacuate(s, false, "its worker is leaving")
		}
	}
	o.checkHeld()
	o.askMachines(now)
	o.forgetFinals(now)
	o.checkStragglers(now)
	o.logLoad(now)
	if o.idleTasks || o.book.Timed() {
		o.kickPlacement()
	}
}

// forgetFinals removes jobs that callers no longer ask for.
func (o *Owner) forgetFinals(now time.Duration) {
	for len(o.finals) > 0 && now-o.finals[0].at > o.retain {
		id := o.finals[0].id
		o.finals = o.finals[1:]
		o.book.Remove(id)
		o.drops = append(o.drops, id)
		o.kickCommit()
	}
}

// outranked gives the shard up: a worker has seen a higher token than ours.
func (o *Owner) outranked(s *session) {
	o.giveUp(ErrNotOwner{Owner: OwnerRow{Entry: "the sender of a higher token at " + s.ref.Boot}})
}

// giveUp ends the ownership; the lock is held.
func (o *Owner) giveUp(cause error) {
	if o.over {
		return
	}
	o.over = true
	o.refuseQueued()
	o.cancel()
	o.log.Warn().Str("event", "shard_given_up").Err(cause).Send()
	go o.onOver(cause)
}

// Close ends the ownership without handing it over.
func (o *Owner) Close() {
	o.mu.Lock()
	o.over = true
	o.refuseQueued()
	o.mu.Unlock()
	o.cancel()
	o.wg.Wait()
}

func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, rackLabel) && strings.ContainsRune(l, '-') {
			return l
		}
	}
	return ""
}
