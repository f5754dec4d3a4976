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

// takeoverReadTimeout bounds the reads of a takeover, as long as something goes on coming.
const takeoverReadTimeout = 15 * time.Second

// Metrics counts what an owner does.
type Metrics interface {
	// Commit counts a try of a transaction, and how long it took.
	Commit(d time.Duration, err error)
	// Poll counts a renewal of leases.
	Poll(err error)
	// Order counts a start, a stop or a pace.
	Order(err error)
	// End counts an end that a worker reports.
	End(reason platform.EndReason)
	// StaleEnd counts an end that a worker lists though it was told to forget it.
	StaleEnd()
	// PredecessorDone counts a wait for the owner before, and how long it took.
	PredecessorDone(end PredecessorEnd, waited time.Duration)
	// AttemptLost counts an attempt that was lost, without an end that counts.
	AttemptLost(kind LossKind)
	// RowMalformed counts a row that could not be read.
	RowMalformed(table string)
	// Job counts what became of a job.
	Job(event string)
	// AccountAtLimit counts a second in which tasks of a client account were held back for its limit.
	AccountAtLimit(account string)
}

// Config is what an owner works with.
type Config struct {
	Pool      string
	Self      Identity
	Clock     *elapsed.Clock // of the entry, by which rights and beliefs expire
	Retention time.Duration  // how long final jobs can be asked for

	MaxLease    time.Duration // that workers grant
	MaxRowBytes int           // the longest value that a row may have, 0 for the usual one

	// HasEnded tells whether the process of the owner in a row is known to have ended; nil
	// knows of none.
	HasEnded func(OwnerRow) bool
	// StandDown tells the process of the owner in a row that it was replaced, by a row that is
	// newer, and whether it does no more work for the shard; nil can tell none.
	StandDown func(ctx context.Context, former OwnerRow, newer platform.Row) (stands bool)

	Rows     platform.Rows
	Workers  platform.Workers
	Machines platform.Machines
	Adviser  platform.Adviser

	Metrics Metrics
	Log     zerolog.Logger

	StoreUptime func() time.Duration // for how long the table service has answered this entry, 0 while it does not

	// ZoneOut tells whether the operator has taken an availability zone out of use; nil for none.
	ZoneOut func(zone string) bool

	BeforeTakeover func()      // called before the takeover's transaction is sent
	OnGivenUp      func(error) // called once when the shard is given up
}

// Owner owns one shard until it is given up or another entry takes it over.
type Owner struct {
	cfg   Config
	log   zerolog.Logger
	claim Claim

	ctx        context.Context // ends with the ownership
	cancel     context.CancelFunc
	wg         sync.WaitGroup // loops, and calls under way
	placeWake  chan struct{}
	commitWake chan struct{}
	urgentWake chan struct{} // a transaction is not to wait for more

	commitPace commitPace // used by the loop of transactions only

	mu        sync.Mutex
	closed    bool
	releasing bool // it is being handed over: nothing new is begun

	catalog          *catalog.Catalog
	book             *jobs.Book
	unreadableJobs   map[string]bool           // IDs of jobs that are kept and can't be read
	recordUnreadable bool                      // the record of a former owner's workers could not be read
	accounts         accounts                  // their shares and limits
	sessions         map[string]*session       // by boot
	currentSessions  map[string]*session       // of the last boot of each worker, by its ID
	raisedTokens     map[string]int64          // the last ones shown to workers that have ended, where raised, by ID
	sortedSessions   []*session                // sessions by boot, nil when out of date
	advices          map[*jobs.StepRun]*advice // of steps whose queue has advice
	durations        map[string]*durationStats // by queue
	suspects         map[*jobs.Task]struct{}   // that lost workers are counted against
	noted            map[*jobs.Job][]noted     // starts that are sent once what is noted ahead is kept
	unheardLoss      bool                      // a former owner's worker was lost before this one heard it
	rate             startrate.Rate            // of starts, while this owner is at its own limit
	arrivals         arrivals                  // of jobs, which tell how much work is on its way
	tasksWaiting     bool                      // tasks wait for room, or for a time

	confirmedAt       time.Duration // when this entry certainly was the owner
	readingOwnerRow   bool          // the owner row is being read
	unconfirmedLogged bool          // that was said in the log

	formerPending     bool          // a worker of a former owner has not been heard
	formerAnyTask     bool          // at one of them any task may be
	formerLeasesUntil time.Duration // when its leases have run out
	tookOverAt        time.Duration // when this entry took over
	soleOwnerAt       time.Duration // from when on no owner before can act any more
	machinesReadAt    time.Duration // when the VM list was last asked for, 0 for never

	pending         map[string]*submission       // by job ID, until their row is written or refused
	queued          []*submission                // of those, the ones not in a transaction yet
	dirty           map[*jobs.Job]struct{}       // whose progress is to be written
	singleItemTxns  int                          // transactions to come that take one thing each
	removals        []dropped                    // jobs whose rows are to be removed
	record          record                       // of leased workers
	urgent          bool                         // someone waits for the next transaction
	committing      bool                         // a transaction is under way
	commitsFailing  bool                         // the table service carries out no transactions
	commitVersion   int64                        // version of the commit row
	seq             int64                        // of the last transaction in this term
	waiters         map[*jobs.Job][]chan Outcome // callers that wait for a final state to be kept
	refusedProgress map[*jobs.Job]error          // whose progress was refused alone, until something else is taken
	finalJobs       []finalJob                   // in the order in which they are forgotten

	loadLoggedAt time.Duration // when the load was last written to the log
}

// Open takes the shard over, if its owner row still has the version seen, reads
// what is kept and starts to own it.
func Open(ctx context.Context, cfg Config, seen Seen, cat *catalog.Catalog, workers []platform.Worker) (o *Owner, err error) {
	ctx, done := context.WithTimeout(ctx, takeoverReadTimeout)
	defer done()
	if cfg.MaxRowBytes == 0 {
		cfg.MaxRowBytes = platform.UsualRowBytes
	}
	if cfg.ZoneOut == nil {
		cfg.ZoneOut = func(string) bool { return false }
	}
	c, err := TakeOver(ctx, cfg.Rows, cfg.Clock, cfg.Pool, cfg.Self, seen, cfg.HasEnded, cfg.BeforeTakeover)
	if err != nil {
		return nil, err
	}
	openedAt := cfg.Clock.Now()
	k, err := readKept(ctx, cfg.Rows, cfg.Pool, c.Term, openedAt, func(e errMalformedRow) {
		cfg.Metrics.RowMalformed(e.key.Table)
		cfg.Log.Error().Str("event", "row_malformed").Str("pool", cfg.Pool).Str("table", e.key.Table).Str("key", e.key.Key).Err(e.cause).Send()
	})
	if err != nil {
		return nil, err
	}
	o = &Owner{
		cfg: cfg, log: cfg.Log.With().Str("pool", cfg.Pool).Int64("term", c.Term).Logger(), claim: c, commitVersion: c.chain,
		placeWake: make(chan struct{}, 1), commitWake: make(chan struct{}, 1), urgentWake: make(chan struct{}, 1),
		catalog: cat, book: k.book, unreadableJobs: k.unreadable, recordUnreadable: k.blind, unheardLoss: k.unheard, accounts: newAccounts(k.shares), record: k.record,
		sessions: map[string]*session{}, currentSessions: map[string]*session{}, raisedTokens: map[string]int64{},
		advices: map[*jobs.StepRun]*advice{}, durations: map[string]*durationStats{}, suspects: map[*jobs.Task]struct{}{}, noted: map[*jobs.Job][]noted{},
		pending: map[string]*submission{}, dirty: map[*jobs.Job]struct{}{}, refusedProgress: map[*jobs.Job]error{}, waiters: map[*jobs.Job][]chan Outcome{},
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.tookOverAt, o.confirmedAt, o.soleOwnerAt = openedAt, c.at, openedAt+c.left
	o.start(k, workers, cfg.Clock.Now())
	return o, nil
}

// start begins to watch the workers and to write and place.
func (o *Owner) start(k kept, workers []platform.Worker, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	jobCount := 0
	o.book.All(func(j *jobs.Job) {
		jobCount++
		if j.State.Final() {
			o.finalJobs = append(o.finalJobs, finalJob{id: j.ID, at: now})
		}
	})
	o.advanceSchedules() // a former owner may have started what is due
	o.formerLeasesUntil = o.formerLeasesEnd(now)
	for _, w := range k.workers {
		if o.sessions[w.Boot] != nil {
			continue // an earlier version's record and ours both name it
		}
		s := o.addSession(platform.WorkerRef{Boot: w.Boot, Address: w.Address}, w.VM)
		s.recorded = true
		o.inherit(s, w)
	}
	o.formerPending = o.formerPending || k.blind
	o.formerAnyTask = o.formerAnyTask || k.blind
	o.arrivals.since = now
	o.restoreSuspects()
	o.setWorkers(workers)
	o.log.Info().Str("event", "shard_owned").Int("jobs", jobCount).Int("active", len(o.book.Active())).
		Int("workers", len(o.sessions)).Int("leased", len(k.workers)).Send()
	o.checkHeld()
	if !o.formerPending {
		o.allHeard()
	}
	o.wg.Go(func() { o.commitLoop(o.ctx) })
	o.wg.Go(func() { o.placeLoop(o.ctx) })
	o.wg.Go(func() { o.upkeepLoop(o.ctx) })
	if o.formerPending && o.soleOwnerAt > now {
		o.wg.Go(o.awaitPredecessor)
	}
	o.askOwnership(now)
	o.kickPlacement()
}

func (o *Owner) now() time.Duration { return o.cfg.Clock.Now() }

// Term is the term of ownership.
func (o *Owner) Term() int64 { return o.claim.Term }

// RowVersion is the version of the owner row that this owner wrote.
func (o *Owner) RowVersion() int64 { return o.claim.OwnerVersion }

// SetCatalog takes a new version of the configuration.
func (o *Owner) SetCatalog(c *catalog.Catalog) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accounts.departFrom(o.catalog, c)
	o.catalog = c
	o.kickPlacement()
}

// superseded gives the shard up: a worker has seen a higher token than ours.
func (o *Owner) superseded(s *session) {
	o.giveUp(ErrNotOwner{Owner: OwnerRow{Entry: "the sender of a higher token at " + s.ref.Boot}})
}

// giveUp ends the ownership; the lock is held.
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

// Close ends the ownership without handing it over.
func (o *Owner) Close() {
	o.mu.Lock()
	o.closed = true
	o.refuseQueued()
	o.mu.Unlock()
	o.cancel()
	o.wg.Wait()
}
