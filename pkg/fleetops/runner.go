package fleetops

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/allowance"
	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// stepInterval is the time between two steps; pools change their demand within a second.
const stepInterval = 250 * time.Millisecond

// Partition names the partition and the shard of this work; no pool is called so.
const Partition = "~maintenance"

// Emptier has the owner of a pool's shard move the tasks away from a VM and keep
// it empty for some seconds; it reports whether nothing is left there.
type Emptier func(ctx context.Context, pool, vm string) (empty bool)

// Loader asks for the load of a pool's shard; grant goes with the question if it is not nil.
type Loader func(ctx context.Context, pool string, grant *allowance.Grant) (l shard.Load, ok bool)

// Config is what a Runner works with.
type Config struct {
	Self  shard.Identity
	Log   zerolog.Logger
	Clock *elapsed.Clock // of the entry, by which rights and beliefs expire

	Rows     platform.Rows
	Machines platform.Machines
	Drain    Emptier
	Load     Loader
	Waves    func() []Wave // all requests for maintenance that are known by now
	// ZoneOut tells whether the operator has taken an availability zone out of use; nil for none.
	ZoneOut func(zone string) bool
	Report  func(wave int, completed bool) (platform.Row, error) // makes the row that tells the operator of a wave

	OrderGap time.Duration // between orders of two holders for a VM
	MaintenanceTime time.Duration // the maintenance of one VM

	Sending func()      // called before the takeover's transaction is sent
	OnOver  func(error) // called once when the work is given up
}

// Runner maintains VMs and sizes pools while this entry owns that work.
type Runner struct {
	cfg    Config
	policy SizingPolicy
	claim  shard.Claim
	log    zerolog.Logger
	cancel context.CancelFunc
	done   chan struct{}

	// Used by the run loop only.
	clock       storeClock
	formerKnown bool                     // what former holders announced was read
	first       time.Duration            // no orders before, 0 unless that was malformed
	former      map[string]time.Duration // until when former holders may have sent orders for a VM, on the table service's clock
	formerWaves map[string]int           // the waves that they maintained those VMs for, 0 for moves
	lastLoads   map[string]shard.Load    // by pool
	trends      map[string]trend         // of demand, by pool
	limits      *allowance.Holder        // divides accounts' limits among shards
	surplus     map[string]int           // steps in a row with VMs left over, by pool
	moves       map[string]*move         // by VM
	announced   map[string]time.Duration // until when orders for a VM may be sent, as is kept, on the table service's clock

	announcedAs int64 // version of the row that names them, as last read or written; 0 for none

	mu          sync.Mutex
	confirmedAt time.Duration // when this entry certainly was the owner
	over        bool
	catalog     *catalog.Catalog
	waves       map[int]*wave            // by ID
	lastOrder   map[string]time.Duration // of ours for a VM
}

// Open takes the work over, if its owner row still has the version seen.
func Open(ctx context.Context, cfg Config, seen shard.Seen, cat *catalog.Catalog) (r *Runner, err error) {
	c, err := shard.TakeOver(ctx, cfg.Rows, cfg.Clock, Partition, cfg.Self, seen, nil, cfg.Sending)
	if err != nil {
		return nil, err
	}
	if cfg.ZoneOut == nil {
		cfg.ZoneOut = func(string) bool { return false }
	}
	now := cfg.Clock.Now()
	r = &Runner{
		cfg: cfg, claim: c, log: cfg.Log.With().Str("pool", Partition).Int64("term", c.Term).Logger(),
		limits: allowance.NewHolder(c.Term), done: make(chan struct{}), confirmedAt: now, catalog: cat, waves: map[int]*wave{},
		policy: DefaultSizing, moves: map[string]*move{}, surplus: map[string]int{}, trends: map[string]trend{},
		formerKnown: c.Term == 1, former: map[string]time.Duration{}, formerWaves: map[string]int{}, lastOrder: map[string]time.Duration{}, announced: map[string]time.Duration{},
	}
	r.learnFormer(ctx)
	runCtx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(runCtx)
	r.log.Info().Str("event", "maintenance_owned").Int("waves", len(cfg.Waves())).Send()
	return r, nil
}

// Term is the term of ownership.
func (r *Runner) Term() int64 { return r.claim.Term }

// RowVersion is the version of the owner row that was written.
func (r *Runner) RowVersion() int64 { return r.claim.OwnerVersion }

// SetCatalog takes a configuration.
func (r *Runner) SetCatalog(c *catalog.Catalog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.catalog = c
}

// SetWorkers is of no use here.
func (r *Runner) SetWorkers([]platform.Worker) {}

// Confirm notes that this entry was the owner at a time.
func (r *Runner) Confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = max(r.confirmedAt, at)
}

// Close ends the work without letting go of the owner row.
func (r *Runner) Close() {
	r.cancel()
	<-r.done
}

// Release ends the work and lets go of the owner row.
func (r *Runner) Release(ctx context.Context, next string) {
	r.Close()
	err := r.letGo(ctx, next)
	r.log.Info().Str("event", "maintenance_released").Err(err).Send()
}

func (r *Runner) now() time.Duration { return r.cfg.Clock.Now() }

func (r *Runner) run(ctx context.Context) {
	defer close(r.done)
	for {
		r.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(stepInterval):
		}
	}
}

// step carries each wave on and sizes the pools.
func (r *Runner) step(ctx context.Context) {
	machines, err := r.listMachines(ctx)
	if err != nil {
		if ctx.Err() == nil {
			r.log.Warn().Str("event", "machines_not_listed").Err(err).Send()
		}
		r.loads(ctx) // accounts' limits go on being divided
		return
	}
	r.lastLoads = r.loads(ctx)
	r.takeWaves()
	mayOrder := r.mayOrder(ctx)
	// Waves choose before moves do: a VM that has just become idle is maintained rather than
	// moved to where it is in use again.
	waves := r.loadedWaves(ctx)
	for _, w := range waves {
		r.choose(w, machines, mayOrder)
	}
	r.settleMoves(machines)
	if mayOrder {
		r.planMoves(machines)
	}
	due := r.moveOrders(mayOrder)
	for _, w := range waves {
		due = append(due, r.waveOrders(w, machines)...)
	}
	r.orderAll(ctx, due)
	for _, w := range waves {
		r.noteFailure(ctx, w, r.keepProgress(ctx, w))
	}
}

// noteFailure says that something of a wave has to be done again.
func (r *Runner) noteFailure(ctx context.Context, w *wave, err error) {
	if err != nil && ctx.Err() == nil {
		r.log.Warn().Str("event", "wave_step_failed").Int("wave", w.ID).Err(err).Send()
	}
}

// listMachines returns the VMs by name.
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

func (r *Runner) spare() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.catalog.Spare()
}

func (r *Runner) giveUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return
	}
	r.over = true
	r.log.Warn().Str("event", "maintenance_given_up").Send()
	r.cancel()
	go r.cfg.OnOver(nil)
}
