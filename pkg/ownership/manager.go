package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// LocalOwner is the owner of a shard that runs in this process; shard.Owner and fleetops.Runner
// implement it.
type LocalOwner interface {
	// Term returns the term of the ownership, which increases with each takeover.
	Term() int64
	// RowVersion returns the version of the owner row that its takeover wrote.
	RowVersion() int64
	// Confirm records that the owner had not been replaced at a time on this entry's clock.
	Confirm(at time.Duration)
	// SetCatalog sets the configuration in force.
	SetCatalog(c *catalog.Catalog)
	// SetWorkers sets the workers of all pools, one for the current boot of each VM.
	SetWorkers(workers []platform.Worker)
	// Release hands the shard over to the entry next, or to any entry if next is empty.
	Release(ctx context.Context, next string)
	// Close stops the owner and waits for its work to end.
	Close()
}

// Opener takes over a shard if its owner row still has the version seen, and starts its owner. It
// calls events.BeforeTakeover before it commits the takeover, and events.OnGivenUp once if the
// owner gives up the shard.
type Opener func(ctx context.Context, pool string, seen shard.ObservedOwner, cat *catalog.Catalog, events Events) (LocalOwner, error)

// Events are the callbacks of an Opener.
type Events struct {
	BeforeTakeover func()      // called before the takeover is committed
	OnGivenUp      func(error) // called once if the owner gives up the shard, with the cause, which may be nil
}

// shardState is what this entry knows of one shard.
type shardState struct {
	row       shard.OwnerRow
	version   int64         // of the owner row, 0 if there is none
	loaded    bool          // row is current and need not be read again
	rowSeenAt time.Duration // when row was first seen

	goneSince    time.Duration // when the owner was found gone, 0 if it is not
	suspectSince time.Duration // when the owner was first suspected, 0 if it is not

	owner     LocalOwner    // nil unless this entry owns the shard
	claiming  bool          // a claim is in progress
	inDoubt   bool          // a takeover was sent to the table service and its outcome is unknown
	notBefore time.Duration // earliest time of the next claim

	closed chan struct{} // closed when the last local owner has stopped, nil if there was none
}

// closeOwner closes a local owner in the background; s.closed tells when it has stopped.
func (s *shardState) closeOwner(o LocalOwner) {
	closed := make(chan struct{})
	s.closed = closed
	go func() {
		defer close(closed)
		o.Close()
	}()
}

// Manager claims, runs and hands over the shards of this entry.
type Manager struct {
	self    shard.Identity
	members *Members
	open    Opener
	log     zerolog.Logger
	clock   *elapsed.Clock

	mu       sync.Mutex
	shards   map[string]*shardState
	catalog  *catalog.Catalog
	workers  []platform.Worker // of all pools, one for the current boot of each VM
	stopping bool
	// mayClaimFirst is the result of MayClaimFirst.
	mayClaimFirst bool
	// releaseDone is set when Release has handed over the shards or failed to.
	releaseDone bool
	// rebalancedAt is when this entry last handed over a shard to balance the load.
	rebalancedAt time.Duration
	changed      chan struct{} // closed and replaced whenever an owner changes
	wake         chan struct{}
}

// NewManager returns a manager that owns no shard yet; open starts the owners.
func NewManager(self shard.Identity, m *Members, open Opener, log zerolog.Logger, clock *elapsed.Clock) *Manager {
	return &Manager{
		self: self, members: m, open: open, log: log, clock: clock,
		shards:  map[string]*shardState{},
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

func (mgr *Manager) now() time.Duration { return mgr.clock.Now() }

// Wake triggers a pass over the shards.
func (mgr *Manager) Wake() { pause.Wake(mgr.wake) }

// Run claims and rebalances shards until ctx ends.
func (mgr *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(claimInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-mgr.wake:
		}
		mgr.claimShards(ctx)
	}
}

// SetCatalog sets the configuration, which names the pools whose shards need an owner.
func (mgr *Manager) SetCatalog(c *catalog.Catalog) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.catalog = c
	mgr.addShard(fleetops.Partition)
	for _, p := range c.Pools {
		if !p.Spare {
			mgr.addShard(p.Name)
		}
	}
	for _, s := range mgr.shards {
		if s.owner != nil {
			s.owner.SetCatalog(c)
		}
	}
	mgr.Wake()
}

// Track has the shard of a pool that the configuration may lack get an owner, as long as this entry runs.
func (mgr *Manager) Track(pool string) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if mgr.shards[pool] == nil {
		mgr.addShard(pool)
		mgr.log.Info().Str("event", "shard_tracked").Str("pool", pool).Send()
		mgr.Wake()
	}
}

// addShard starts tracking a shard. The caller holds mu.
func (mgr *Manager) addShard(pool string) {
	if mgr.shards[pool] == nil {
		mgr.shards[pool] = &shardState{}
	}
}

// SetWorkers passes the workers of all pools, as read from the worker directory, to the local
// owners.
func (mgr *Manager) SetWorkers(workers []platform.Worker) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.workers = workers
	for _, s := range mgr.shards {
		if s.owner != nil {
			s.owner.SetWorkers(workers)
		}
	}
}

// Owns reports whether this entry owns the shard of any pool, and returns a channel that is closed
// when any owner changes. The shard of the fleet operations does not count.
func (mgr *Manager) Owns() (owns bool, changed <-chan struct{}) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for pool, s := range mgr.shards {
		owns = owns || pool != fleetops.Partition && s.owner != nil
	}
	return owns, mgr.changed
}

// Release hands over all local shards in a planned stop; no shard is claimed from then on. Their
// owners have ended when it returns, whether or not their rows could be written.
func (mgr *Manager) Release(ctx context.Context) {
	mgr.mu.Lock()
	mgr.stopping = true
	var owners []LocalOwner
	for _, s := range mgr.shards {
		if s.owner != nil {
			owners = append(owners, s.owner)
		}
	}
	mgr.mu.Unlock()
	next := mgr.successors()
	var wg sync.WaitGroup
	for i, o := range owners {
		wg.Go(func() { o.Release(ctx, next[i%len(next)]) })
	}
	wg.Wait()
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.releaseDone = true
}

// Released reports whether all local owners have ended in a planned stop, so that the shards of
// rows which still name this entry may be claimed at once.
func (mgr *Manager) Released() bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if !mgr.releaseDone {
		return false
	}
	for _, s := range mgr.shards {
		if s.claiming || !isClosed(s.closed) {
			return false
		}
	}
	return true
}

// Shards returns the names of all known shards.
func (mgr *Manager) Shards() (pools []string) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for pool := range mgr.shards {
		pools = append(pools, pool)
	}
	return pools
}
