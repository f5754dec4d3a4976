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

// Work is what an entry that owns a shard does.
type Work interface {
	Term() int64
	RowVersion() int64
	Confirm(at time.Duration)
	SetCatalog(c *catalog.Catalog)
	SetWorkers(workers []platform.Worker)
	Release(ctx context.Context, next string)
	Close()
}

// Opener takes a shard over, if its owner row still has the version seen, and
// begins its work. It calls events.Sending before the takeover's transaction is
// sent, and events.Over once if the work is given up.
type Opener func(ctx context.Context, pool string, seen shard.ObservedOwner, cat *catalog.Catalog, events Events) (Work, error)

// Events are what an Opener tells of.
type Events struct {
	Sending func()
	Over    func(error)
}

// state is what this entry knows of one shard.
type state struct {
	row     shard.OwnerRow
	version int64         // of the owner row, 0 when there is none
	loaded  bool          // the row was read and need not be read again
	rowAt   time.Duration // when the row was seen first

	gone    time.Duration // since when the owner is held for gone, 0 when it is not
	suspect time.Duration // since when it is suspected, 0 when it is not

	owner     Work          // nil while this entry does not own the shard
	claiming  bool          // a takeover is under way here
	inDoubt   bool          // its transaction was sent and the outcome is not known
	notBefore time.Duration // no claim before

	ended chan struct{} // closed when the last work of this entry for the shard has ended, nil if there was none
}

// end ends the work of this entry for the shard, which it is told to give up.
func (s *state) end(o Work) {
	ended := make(chan struct{})
	s.ended = ended
	go func() {
		defer close(ended)
		o.Close()
	}()
}

// Keeper owns the shards that fall to this entry.
type Keeper struct {
	self    shard.Identity
	members *Members
	open    Opener
	log     zerolog.Logger
	clock   *elapsed.Clock

	mu       sync.Mutex
	shards   map[string]*state
	catalog  *catalog.Catalog
	workers  []platform.Worker // current boots of all pools
	stopping bool
	// handedOnAt is when this entry last let go of a shard that another should own.
	handedOnAt time.Duration
	changed    chan struct{} // closed and replaced whenever an owner changes
	wake       chan struct{}
}

// NewKeeper returns a keeper that owns nothing yet.
func NewKeeper(self shard.Identity, m *Members, open Opener, log zerolog.Logger, clock *elapsed.Clock) *Keeper {
	return &Keeper{
		self: self, members: m, open: open, log: log, clock: clock,
		shards:  map[string]*state{},
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

func (k *Keeper) now() time.Duration { return k.clock.Now() }

// Kick has the claims gone through soon.
func (k *Keeper) Kick() { pause.Wake(k.wake) }

// Run claims shards until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(evaluateInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-k.wake:
		}
		k.evaluate(ctx)
	}
}

// SetCatalog takes a configuration; the shards of new pools are claimed from then on.
func (k *Keeper) SetCatalog(c *catalog.Catalog) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.catalog = c
	k.want(fleetops.Partition)
	for _, p := range c.Pools {
		if !p.Spare {
			k.want(p.Name)
		}
	}
	for _, s := range k.shards {
		if s.owner != nil {
			s.owner.SetCatalog(c)
		}
	}
	k.Kick()
}

// want has a shard owned by someone; the lock is held.
func (k *Keeper) want(pool string) {
	if k.shards[pool] == nil {
		k.shards[pool] = &state{}
	}
}

// SetWorkers takes the directory's current boots of all pools.
func (k *Keeper) SetWorkers(workers []platform.Worker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.workers = workers
	for _, s := range k.shards {
		if s.owner != nil {
			s.owner.SetWorkers(workers)
		}
	}
}

// Owns tells whether this entry owns a shard of workers, and
// returns a channel that is closed when an owner changes.
func (k *Keeper) Owns() (owns bool, changed <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for pool, s := range k.shards {
		owns = owns || pool != fleetops.Partition && s.owner != nil
	}
	return owns, k.changed
}

// Release hands all shards over, so that others can take them at once.
func (k *Keeper) Release(ctx context.Context) {
	k.mu.Lock()
	k.stopping = true
	var owners []Work
	for _, s := range k.shards {
		if s.owner != nil {
			owners = append(owners, s.owner)
		}
	}
	k.mu.Unlock()
	next := k.next()
	var wg sync.WaitGroup
	for i, o := range owners {
		wg.Go(func() { o.Release(ctx, next[i%len(next)]) })
	}
	wg.Wait()
}

// Shards returns the names of all shards that are known here.
func (k *Keeper) Shards() (pools []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for pool := range k.shards {
		pools = append(pools, pool)
	}
	return pools
}
