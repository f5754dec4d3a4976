package shard

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/startrate"
)

// takeoverTimeout bounds a takeover, including the reads of the stored state.
const takeoverTimeout = 15 * time.Second

// Config holds the settings and dependencies of an owner.
type Config struct {
	Pool      string
	Allocator string // shard whose owner grants shares of the limits of accounts
	Self      Identity
	Clock     *elapsed.Clock // of the entry; measures ownership and lease expiry
	Retention time.Duration  // how long final jobs stay available to callers

	MaxLease time.Duration // longest lease that workers accept; they shorten longer ones
	// StopTime is the longest time that a task takes to end after it was told to stop, 0 if unknown.
	StopTime    time.Duration
	MaxRowBytes int // longest row value, in bytes, 0 for platform.DefaultMaxRowBytes

	// HasEnded reports whether the process of the owner in a row is known to have ended;
	// nil if that is never known.
	HasEnded func(OwnerRow) bool
	// StandDown tells the process of the predecessor that the newer row replaced it, and reports
	// whether it has stopped all work for the shard; nil if the predecessor can't be reached.
	StandDown func(ctx context.Context, predecessor OwnerRow, newer platform.Row) (stopped bool)

	Rows     platform.Rows
	Workers  platform.Workers
	Machines platform.Machines
	Adviser  platform.Adviser // of the advice service, which permits steps to run on workers

	Metrics Metrics
	Log     zerolog.Logger

	StoreUptime func() time.Duration // how long the table service has answered this entry without a failure, 0 while it does not

	// ZoneEvacuated reports whether the operator has taken an availability zone out of use; nil for none.
	ZoneEvacuated func(zone string) bool

	// CloseQueue has another pool's shard accept no more new jobs of a queue, see Owner.CloseQueue. It returns an error
	// unless that is stored.
	CloseQueue func(ctx context.Context, pool, route string, version int64, to string) error
	// FindJob looks for a job in the shards of pools that accept no more jobs of its queue. The outcome is ok,
	// not_found, or any other if it can't be told.
	FindJob func(ctx context.Context, former QueuePools, route, id string, by Requester) Outcome

	// ReserveMemory reports whether there is memory for a new job of so many bytes; release is called when it is laid out
	// or refused. Nil for no bound.
	ReserveMemory func(bytes int) (release func(), ok bool)

	BeforeTakeover func()      // called before the takeover's transaction is sent
	OnGivenUp      func(error) // called once, with the cause, when the owner gives the shard up
}

// Owner owns one shard until it gives the shard up or another entry takes it over.
type Owner struct {
	cfg   Config
	log   zerolog.Logger
	claim Claim

	ctx        context.Context // canceled when the ownership ends
	cancel     context.CancelFunc
	wg         sync.WaitGroup // loops and outstanding calls
	placeWake  chan struct{}
	commitWake chan struct{}
	urgentWake chan struct{} // commit without waiting to batch more

	commitLatency commitLatency // used by the commit loop only

	mu        sync.Mutex
	closed    bool
	releasing bool // a handover is in progress: no new work starts

	catalog          *catalog.Catalog
	registry         *jobs.Registry
	unreadableJobs   map[string]bool           // IDs of stored jobs that could not be decoded
	recordUnreadable bool                      // the stored record of leased workers could not be decoded
	accounts         accounts                  // quota shares and limits of client accounts
	sessions         map[string]*session       // by boot; each tracks the attempts, leases and orders at one boot of a worker
	currentSessions  map[string]*session       // latest boot of each worker, by worker ID
	endedBoots       map[string]endedBoot      // last one of each worker, by worker ID
	sortedSessions   []*session                // sessions by boot, nil when stale
	advices          map[*jobs.StepRun]*advice // of the advice service, on steps whose queue requires it
	durations        map[string]*durationStats // by queue
	coldSpeed        coldSpeed
	suspects         map[*jobs.Task]struct{}       // tasks with worker losses counted against them
	placement        passCounts                    // since the takeover
	passesLogged     passCounts                    // value of placement when the load was last logged
	deferredStarts   map[*jobs.Job][]deferredStart // starts to be sent once the provisional loss of their worker is stored
	unreportedLoss   bool                          // a former owner's worker was lost before it reported to this owner
	rate             startrate.Limiter             // limits starts while the CPU or network link of this owner is saturated
	restarts         restarts                      // of long-running tasks that were moved
	waveVMs          waveVMs                       // VMs that open waves will drain
	arrivals         arrivals                      // recently accepted jobs, to predict demand
	hasWaitingTasks  bool                          // startable tasks were found by the last placement pass

	ownedAt           time.Duration // last time at which the table service confirmed that this entry is the owner
	readingOwnerRow   bool          // a read of the owner row is in progress
	unconfirmedLogged bool          // the missing confirmation was logged

	formerWorkersPending bool          // the takeover is incomplete: a worker of a former owner has not reported yet
	formerTasksUnknown   bool          // any restored task may be at such a worker, not only listed ones
	formerLeasesUntil    time.Duration // when all leases renewed by former owners have expired
	timeouts             timeoutPolicy // chooses the timeouts of calls to workers
	tookOverAt           time.Duration // when this entry took over
	formerStopsEndAt     time.Duration // by when all stops of former owners have ended, 0 if not known
	soleOwnerAt          time.Duration // from when on no former owner can act; answers to earlier polls do not complete the takeover
	machinesReadAt       time.Duration // when the VM list was last requested, 0 for never

	pending         map[string]*submission       // by job ID, until their row is written or refused
	queued          []*submission                // pending submissions not in a transaction yet
	dirty           map[*jobs.Job]struct{}       // jobs whose progress must be written
	singleItemTxns  int                          // number of upcoming transactions limited to one item, to find the item that is refused
	queues          queues                       // that the shard has or had
	removals        []expiredJob                 // jobs whose rows must be removed
	record          workerRecord                 // leased workers, as stored
	urgent          bool                         // a caller waits for the next transaction
	committing      bool                         // a transaction is in progress
	commitsFailing  bool                         // the table service fails transactions
	commitVersion   int64                        // of the commit row
	seq             int64                        // of the last transaction in this term
	waiters         map[*jobs.Job][]chan Outcome // callers waiting for a final state to be stored
	refusedProgress map[*jobs.Job]error          // jobs whose progress was refused in a transaction of its own, until another write succeeds
	finalJobs       []finalJob                   // in the order in which they expire

	loadLoggedAt time.Duration // when the load was last logged
}

// Open takes the shard over if its owner row still has the version in seen, reads the
// stored state and starts the owner. It fails if another entry has written the owner
// row or the stored rows can't be read in time.
func Open(ctx context.Context, cfg Config, seen ObservedOwner, cat *catalog.Catalog, workers []platform.Worker) (o *Owner, err error) {
	ctx, done := context.WithTimeout(ctx, takeoverTimeout)
	defer done()
	if cfg.MaxRowBytes == 0 {
		cfg.MaxRowBytes = platform.DefaultMaxRowBytes
	}
	if cfg.ZoneEvacuated == nil {
		cfg.ZoneEvacuated = func(string) bool { return false }
	}
	c, err := TakeOver(ctx, cfg.Rows, cfg.Clock, cfg.Pool, cfg.Self, seen, cfg.HasEnded, cfg.BeforeTakeover)
	if err != nil {
		return nil, err
	}
	tookOverAt := cfg.Clock.Now()
	stored, err := readStoredState(ctx, cfg.Rows, cfg.Pool, c.Term, tookOverAt, func(e errMalformedRow) {
		cfg.Metrics.RowMalformed(e.key.Table)
		cfg.Log.Error().Str("event", "row_malformed").Str("pool", cfg.Pool).Str("table", e.key.Table).Str("key", e.key.Key).Err(e.cause).Send()
	})
	if err == nil && stored.sharesUnreadable {
		err = stored.replaceShares(ctx, cfg.Rows, cfg.Allocator, c.Term)
	}
	if err != nil {
		return nil, err
	}
	o = &Owner{
		cfg: cfg, log: cfg.Log.With().Str("pool", cfg.Pool).Int64("term", c.Term).Logger(), claim: c, commitVersion: c.commitVersion,
		placeWake: make(chan struct{}, 1), commitWake: make(chan struct{}, 1), urgentWake: make(chan struct{}, 1),
		catalog: cat, registry: stored.registry, unreadableJobs: stored.unreadable, recordUnreadable: stored.workersUnreadable, unreportedLoss: stored.unreportedLoss, accounts: newAccounts(stored.shares), record: stored.record, queues: newQueues(stored.queues, stored.unreadableQueues),
		sessions: map[string]*session{}, currentSessions: map[string]*session{}, endedBoots: map[string]endedBoot{},
		advices: map[*jobs.StepRun]*advice{}, durations: map[string]*durationStats{}, suspects: map[*jobs.Task]struct{}{}, deferredStarts: map[*jobs.Job][]deferredStart{},
		pending: map[string]*submission{}, dirty: map[*jobs.Job]struct{}{}, refusedProgress: map[*jobs.Job]error{}, waiters: map[*jobs.Job][]chan Outcome{},
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.accounts.changed = stored.sharesUnreadable
	o.tookOverAt, o.ownedAt, o.soleOwnerAt = tookOverAt, c.sentAt, tookOverAt+c.formerGrace
	o.start(stored, workers, cfg.Clock.Now())
	return o, nil
}

// start creates the sessions and starts the loops.
func (o *Owner) start(stored storedState, workers []platform.Worker, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	jobCount := 0
	o.registry.All(func(j *jobs.Job) {
		jobCount++
		if j.State.Final() {
			o.finalJobs = append(o.finalJobs, finalJob{id: j.ID, at: now})
		}
	})
	o.advanceSchedules() // former owners may have started occurrences that are due
	o.formerLeasesUntil = o.formerLeasesEnd(now)
	for _, w := range stored.workers {
		if o.sessions[w.Boot] != nil {
			continue // both the current and an earlier record format name it
		}
		s := o.addSession(platform.WorkerRef{Boot: w.Boot, Address: w.Address}, w.VM)
		o.inheritWorker(s, w)
	}
	o.formerWorkersPending = o.formerWorkersPending || stored.workersUnreadable
	o.formerTasksUnknown = o.formerTasksUnknown || stored.workersUnreadable
	o.arrivals.since = now
	o.restoreSuspects()
	o.setWorkers(workers)
	o.log.Info().Str("event", "shard_owned").Int("jobs", jobCount).Int("active", len(o.registry.Active())).
		Int("workers", len(o.sessions)).Int("leased", len(stored.workers)).Send()
	o.resolveFormerWorkers()
	if !o.formerWorkersPending {
		o.finishTakeover()
	}
	o.wg.Go(func() { o.commitLoop(o.ctx) })
	o.wg.Go(func() { o.placeLoop(o.ctx) })
	o.wg.Go(func() { o.checkLoop(o.ctx) })
	if o.formerWorkersPending && o.soleOwnerAt > now {
		o.wg.Go(o.awaitPredecessor)
	}
	o.checkOwnership(now)
	o.requestPlacement()
}

func (o *Owner) now() time.Duration { return o.cfg.Clock.Now() }

// Term returns the term of this ownership.
func (o *Owner) Term() int64 { return o.claim.Term }

// RowVersion returns the version of the owner row that this owner wrote.
func (o *Owner) RowVersion() int64 { return o.claim.OwnerVersion }

// SetCatalog replaces the configuration.
func (o *Owner) SetCatalog(c *catalog.Catalog) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accounts.retainRemoved(o.catalog, c)
	o.catalog = c
	o.requestPlacement()
}

// superseded gives the shard up because a worker has seen a higher fencing token.
func (o *Owner) superseded(s *session) {
	o.giveUp(ErrNotOwner{Owner: OwnerRow{Entry: "the owner with a higher fencing token at " + s.ref.Boot}})
}

// giveUp ends the ownership; the caller holds the lock.
func (o *Owner) giveUp(cause error) {
	if o.closed {
		return
	}
	o.closed = true
	o.refuseQueued()
	o.cancel()
	o.log.Warn().Str("event", "shard_given_up").Err(cause).Send()
	go o.cfg.OnGivenUp(cause)
}

// Close ends the ownership without a handover and waits for all calls to return.
func (o *Owner) Close() {
	o.mu.Lock()
	o.closed = true
	o.refuseQueued()
	o.mu.Unlock()
	o.cancel()
	o.wg.Wait()
}
