package fleetops

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quota"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// stepInterval is the time between two steps.
	stepInterval = 250 * time.Millisecond
	// askProgressFor is how long after its takeover a holder asks others for the progress of waves. A
	// former holder that does not know of its replacement yet may still tell more.
	askProgressFor = 10 * time.Second
)

// Partition is the partition and shard name of the fleet operations. It is never a pool's name.
// Stored names and log events call all fleet operations maintenance.
const Partition = "~maintenance"

// Drainer has the owner of a pool's shard move the tasks off a VM and start no others there for
// some seconds; VMs of a lower rank get free places first. It reports whether the VM is drained.
type Drainer func(ctx context.Context, pool, vm string, rank int) (drained bool)

// LoadQuery requests the load of a pool's shard and tells its owner what it needs to know.
type LoadQuery struct {
	Pool    string
	Grant   *quota.Grant // the shard's part of account quotas, nil for no change
	WaveVMs []string     // VMs of the pool that open waves will drain
	// Progress is kept by the owner's entry for the next holder.
	Progress []WaveProgress
	// AskProgress requests what the entry keeps.
	AskProgress bool
}

// LoadReply answers a LoadQuery.
type LoadReply struct {
	Load     shard.Load
	Progress []WaveProgress // if the query asked for it
}

// Loader sends a query to the owner of a pool's shard; ok is false if it does not answer.
type Loader func(ctx context.Context, q LoadQuery) (reply LoadReply, ok bool)

// Config holds the settings and dependencies of a Runner.
type Config struct {
	Self  shard.Identity
	Log   zerolog.Logger
	Clock *elapsed.Clock // of the entry, measures leases and timeouts

	Rows     platform.Rows
	Machines platform.Machines
	Drain    Drainer
	Load     Loader
	Waves    func() []Wave // all maintenance requests known so far
	// ZoneEvacuated reports whether the operator has evacuated an availability zone; nil means that none
	// is.
	ZoneEvacuated func(zone string) bool
	Report        func(wave int, completed bool) (platform.Row, error) // encodes the row that reports a wave to the operator

	OnWaves func([]WaveStatus) // called with the progress of the open waves; nil for none
	// OnLearned is called with the number of VMs of waves of which only other entries knew that they
	// were done or ordered; nil for nothing.
	OnLearned func(vms int)

	OrderGap        time.Duration // minimum time between orders of two holders for a VM, required by the VM service
	MaintenanceTime time.Duration // how long the maintenance of a VM takes

	BeforeTakeover func()       // called before the takeover's transaction is sent
	OnShares       func(Shares) // called in each step that may move VMs, and with none when this entry stops; nil for nothing
	OnGivenUp      func(error)  // called once, with nil, when another entry is found to have taken over
}

// Runner runs the fleet operations while this entry is the holder.
type Runner struct {
	cfg    Config
	policy SizingPolicy
	claim  shard.Claim
	log    zerolog.Logger
	cancel context.CancelFunc
	done   chan struct{}

	// Used by the run loop only.
	clock             tableClock
	formerOrdersKnown bool                           // the former holders' announcement was read
	noOrdersBefore    time.Duration                  // set if that announcement was malformed
	formerOrders      orderBook                      // what former holders may have sent
	lastLoads         map[string]shard.Load          // by pool
	limited           map[string][]shard.LimitedStep // as last reported, by pool
	waveVMs           map[string][]string            // VMs that open waves will drain, by pool
	trends            map[string]trend               // of demand, by pool
	quotas            *quota.Allocator               // divides account quotas among shards
	surplus           map[string]int                 // consecutive steps with surplus VMs, by pool
	evacuatedSurplus  map[string]int                 // consecutive steps with movable VMs in evacuated zones, by pool
	moves             map[string]*move               // by VM
	tookOverAt        time.Duration
	learned           ProgressCache // what other entries have told of waves
	announced         orderBook     // as persisted: what may be sent, and what of former holders the next one has to know

	loggedShares   Shares        // as last logged
	sharesLoggedAt time.Duration // when that was

	announcedVersion int64 // version of the announcement row as last read or written, 0 for none

	mu          sync.Mutex
	confirmedAt time.Duration // when this entry was last known to be the holder
	gaveUp      bool
	catalog     *catalog.Catalog
	waves       map[int]*wave // by ID
	waveStatus  []WaveStatus  // of the open waves
	sent        sentOrders
}

// Open takes over the fleet operations if their owner row still has the version seen, and starts
// the run loop.
func Open(ctx context.Context, cfg Config, seen shard.ObservedOwner, cat *catalog.Catalog) (r *Runner, err error) {
	c, err := shard.TakeOver(ctx, cfg.Rows, cfg.Clock, Partition, cfg.Self, seen, nil, cfg.BeforeTakeover)
	if err != nil {
		return nil, err
	}
	if cfg.ZoneEvacuated == nil {
		cfg.ZoneEvacuated = func(string) bool { return false }
	}
	if cfg.OnWaves == nil {
		cfg.OnWaves = func([]WaveStatus) {}
	}
	if cfg.OnLearned == nil {
		cfg.OnLearned = func(int) {}
	}
	if cfg.OnShares == nil {
		cfg.OnShares = func(Shares) {}
	}
	now := cfg.Clock.Now()
	r = &Runner{
		cfg: cfg, claim: c, log: cfg.Log.With().Str("pool", Partition).Int64("term", c.Term).Logger(),
		quotas: quota.NewAllocator(c.Term), done: make(chan struct{}), confirmedAt: now, catalog: cat, waves: map[int]*wave{},
		limited: map[string][]shard.LimitedStep{},
		policy:  DefaultSizing, moves: map[string]*move{}, surplus: map[string]int{}, evacuatedSurplus: map[string]int{}, trends: map[string]trend{},
		formerOrdersKnown: c.Term == 1, formerOrders: orderBook{}, sent: sentOrders{}, announced: orderBook{},
		loggedShares: Shares{Level: LevelNone}, tookOverAt: now,
	}
	r.loadFormerOrders(ctx)
	runCtx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(runCtx)
	r.log.Info().Str("event", "maintenance_owned").Int("waves", len(cfg.Waves())).Send()
	return r, nil
}

// Term returns the ownership term.
func (r *Runner) Term() int64 { return r.claim.Term }

// RowVersion returns the version of the owner row that the takeover wrote.
func (r *Runner) RowVersion() int64 { return r.claim.OwnerVersion }

// SetCatalog sets the current configuration.
func (r *Runner) SetCatalog(c *catalog.Catalog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.catalog = c
}

// SetWorkers does nothing: the VM list comes from the VM service.
func (r *Runner) SetWorkers([]platform.Worker) {}

// Confirm records that this entry had not been replaced as the holder at a time on its clock.
func (r *Runner) Confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = max(r.confirmedAt, at)
}

// Close stops the run loop without releasing the owner row.
func (r *Runner) Close() {
	r.cancel()
	<-r.done
	r.cfg.OnWaves(nil)
}

// Release stops the run loop and releases the owner row to the entry next, empty for any.
func (r *Runner) Release(ctx context.Context, next string) {
	r.Close()
	err := r.releaseOwnership(ctx, next)
	r.log.Info().Str("event", "maintenance_released").Err(err).Send()
}

func (r *Runner) now() time.Duration { return r.cfg.Clock.Now() }

func (r *Runner) run(ctx context.Context) {
	defer close(r.done)
	defer r.cfg.OnShares(Shares{Level: LevelNone})
	for {
		r.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(stepInterval):
		}
	}
}

// step advances all waves and sizes the pools.
func (r *Runner) step(ctx context.Context) {
	machines, err := r.listMachines(ctx)
	if err != nil {
		if ctx.Err() == nil {
			r.log.Warn().Str("event", "machines_not_listed").Err(err).Send()
		}
		r.pollLoads(ctx) // quotas are divided without the VM list
		return
	}
	// The owners of pools learn which VMs a wave will drain before the first one is, so that tasks don't
	// move to the others.
	r.acceptWaves()
	r.forgetSent()
	r.noteWaveVMs(r.openWaves(), machines)
	r.lastLoads = r.pollLoads(ctx)
	mayOrder := r.mayOrder(ctx)
	// Waves go first, so that a VM that just became idle is maintained rather than moved.
	waves := r.loadedWaves(ctx)
	r.noteLimitedSteps()
	for _, w := range waves {
		if r.formerOrdersKnown { // before, neither the VMs' former workers nor the table service's clock are
			r.applyLearned(w, machines)
		}
		r.drainNext(w, machines, mayOrder)
	}
	r.noteWaveVMs(waves, machines)
	r.reportWaves(waves, machines)
	r.finishMoves(machines)
	if mayOrder {
		r.planMoves(machines)
	}
	orders := r.moveOrders(mayOrder, len(waves)) // waves have deadlines, moves have not
	for rank, w := range waves {
		orders = append(orders, r.waveOrders(w, machines, rank)...)
	}
	r.sendOrders(ctx, orders)
	for _, w := range waves {
		r.logWaveFailure(ctx, w, r.saveProgress(ctx, w))
	}
}

// logWaveFailure logs that a step of a wave failed and will be retried.
func (r *Runner) logWaveFailure(ctx context.Context, w *wave, err error) {
	if err != nil && ctx.Err() == nil {
		r.log.Warn().Str("event", "wave_step_failed").Int("wave", w.ID).Err(err).Send()
	}
}

// listMachines returns all VMs by name.
func (r *Runner) listMachines(ctx context.Context) (machines map[string]platform.Machine, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := r.cfg.Machines.ListMachines(ctx)
	if err != nil {
		return nil, err
	}
	machines = make(map[string]platform.Machine, len(list))
	for _, m := range list {
		machines[m.VM] = m
	}
	return machines, nil
}

func (r *Runner) sparePool() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.catalog.SparePool()
}

// giveUp stops the run loop after another entry has taken over.
func (r *Runner) giveUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gaveUp {
		return
	}
	r.gaveUp = true
	r.log.Warn().Str("event", "maintenance_given_up").Send()
	r.cancel()
	go r.cfg.OnGivenUp(nil)
}
