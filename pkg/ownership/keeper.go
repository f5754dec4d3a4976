package ownership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// Pace of claims.
const (
	// settleTime is how long a process that has started waits for others to register before it claims a shard that nobody owned.
	settleTime = 600 * time.Millisecond
	// rankDelay separates the claims of entries that would take over in turn.
	rankDelay = 350 * time.Millisecond
	// suspectTime is how long an owner is suspected before a claim when few others are heard.
	suspectTime = 3 * time.Second
	// storeSteady is for how long the table service must have answered before a
	// suspected owner is replaced: an entry whose cut has just healed reaches the
	// service before it hears the others again.
	storeSteady = 1500 * time.Millisecond
	// evaluateInterval is how often claims are gone through without an event.
	evaluateInterval = 200 * time.Millisecond
	// claimPause follows a claim that failed.
	claimPause = 300 * time.Millisecond
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
type Opener func(ctx context.Context, pool string, seen int64, cat *catalog.Catalog, workers []platform.Worker, events Events) (Work, error)

// Events are what an Opener tells of.
type Events struct {
	Sending func()
	Over    func(error)
}

// state is what this entry knows of one shard.
type state struct {
	row       shard.OwnerRow
	version   int64         // of the owner row, 0 when there is none
	loaded    bool          // the row was read at least once
	rowAt     time.Duration // when the row was seen first
	owner     Work
	claiming  bool
	inDoubt   bool // a takeover's transaction was sent and its outcome is not known
	notBefore time.Duration
	gone      time.Duration // since when the owner is held for gone, 0 when it is not
	suspect   time.Duration
}

// Keeper owns the shards that fall to this entry.
type Keeper struct {
	self    shard.Identity
	members *Members
	open    Opener
	log     zerolog.Logger
	since   time.Time

	mu       sync.Mutex
	shards   map[string]*state
	catalog  *catalog.Catalog
	workers  []platform.Worker // current boots of all pools
	stopping bool
	changed  chan struct{} // closed and replaced whenever an owner changes
	wake     chan struct{}
}

// NewKeeper returns a keeper that owns nothing yet.
func NewKeeper(self shard.Identity, m *Members, open Opener, log zerolog.Logger, since time.Time) *Keeper {
	return &Keeper{
		self: self, members: m, open: open, log: log, since: since,
		shards:  map[string]*state{},
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

func (k *Keeper) now() time.Duration { return time.Since(k.since) }

// Kick has the claims gone through soon.
func (k *Keeper) Kick() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

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

// ApplyOwner takes an owner row.
func (k *Keeper) ApplyOwner(pool string, r platform.Row) {
	var row shard.OwnerRow
	if r.Version > 0 && !r.Removed {
		var err error
		if row, err = shard.DecodeOwner(r.Value); err != nil {
			k.log.Error().Str("event", "owner_row_malformed").Str("pool", pool).Err(err).Send()
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shards[pool]
	if s == nil {
		s = &state{}
		k.shards[pool] = s
	}
	if s.loaded && r.Version <= s.version {
		return
	}
	k.setRow(pool, s, row, r.Version)
	if s.owner != nil && row.Term > s.owner.Term() {
		o := s.owner
		s.owner = nil
		go o.Close()
		k.log.Warn().Str("event", "shard_lost").Str("pool", pool).Str("owner", row.Entry).Int64("term", row.Term).Send()
	}
	k.Kick()
}

// setRow notes an owner row; the lock is held.
func (k *Keeper) setRow(pool string, s *state, row shard.OwnerRow, version int64) {
	s.row, s.version, s.loaded = row, version, true
	s.inDoubt = false
	s.rowAt = k.now()
	s.gone, s.suspect = 0, 0
	k.log.Info().Str("event", "shard_owner").Str("pool", pool).Str("owner", row.Entry).Int64("term", row.Term).Int64("version", version).Send()
	owners := map[string]bool{}
	for _, s := range k.shards {
		owners[s.row.Entry] = true
	}
	k.members.SetOwners(owners)
	close(k.changed)
	k.changed = make(chan struct{})
}

// Owner returns who owns a shard, and the shard itself if it is this entry;
// changed is closed when that changes.
func (k *Keeper) Owner(pool string) (row shard.OwnerRow, local Work, changed <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shards[pool]
	if s == nil {
		return shard.OwnerRow{}, nil, k.changed
	}
	return s.row, s.owner, k.changed
}

// Pools returns the pools whose owner row has not been read yet.
func (k *Keeper) Pools() (unread []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for pool, s := range k.shards {
		if !s.loaded {
			unread = append(unread, pool)
		}
	}
	return unread
}

// evaluate claims the shards whose owner is gone and that fall to this entry.
func (k *Keeper) evaluate(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if k.stopping || now < settleTime || k.catalog == nil {
		return
	}
	if at, ok := k.members.ConfirmedAt(k.seenVersion()); ok {
		for _, s := range k.shards {
			if s.owner != nil {
				s.owner.Confirm(at)
			}
		}
	}
	alive := k.members.Heirs()
	load := k.load(alive)
	pools := make([]string, 0, len(k.shards))
	for pool := range k.shards {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	for _, pool := range pools {
		s := k.shards[pool]
		if !s.loaded || s.owner != nil || s.claiming || now < s.notBefore {
			continue
		}
		why, gone := k.judge(s, now)
		if !gone {
			continue
		}
		rank := k.rank(pool, s.row, alive, load)
		if now-s.gone < time.Duration(rank)*rankDelay {
			continue
		}
		s.claiming = true
		k.log.Info().Str("event", "shard_claimed").Str("pool", pool).Str("former", s.row.Entry).Int64("version", s.version).
			Str("why", why).Int("rank", rank).Int("alive", len(alive)).Send()
		go k.claim(ctx, pool, s, s.version)
	}
}

// seenVersion is the highest version of an owner row that was seen; the lock is held.
func (k *Keeper) seenVersion() (version int64) {
	for _, s := range k.shards {
		version = max(version, s.version)
	}
	return version
}

// News returns the owner rows that are newer than a version.
func (k *Keeper) News(after int64) (news []schema.OwnerNews) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for pool, s := range k.shards {
		if s.version <= after {
			continue
		}
		raw, err := shard.EncodeOwner(s.row)
		if err != nil {
			k.log.Error().Str("event", "owner_row_not_encoded").Str("pool", pool).Err(err).Send()
			continue
		}
		news = append(news, schema.OwnerNews{Pool: pool, Version: int(s.version), Row: raw})
	}
	return news
}

// Seen returns the highest version of an owner row that this entry has seen,
// and whether it is taking a shard over.
func (k *Keeper) Seen() (version int64, claiming bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.shards {
		claiming = claiming || s.inDoubt
	}
	return k.seenVersion(), claiming
}

// judge tells whether a shard is to be claimed; the lock is held.
func (k *Keeper) judge(s *state, now time.Duration) (why string, gone bool) {
	verdict, why := k.members.Judge(s.row, s.rowAt)
	switch verdict {
	case VerdictAlive:
		s.gone, s.suspect = 0, 0
		return why, false
	case VerdictSuspect:
		if s.suspect == 0 {
			s.suspect = now
		}
		if now-s.suspect < suspectTime || k.members.local.StoreAnsweredFor() < storeSteady {
			return why, false
		}
	}
	if s.gone == 0 {
		s.gone = now
	}
	return why, true
}

// load counts the shards of each entry that is alive.
func (k *Keeper) load(alive []Member) map[string]int {
	load := make(map[string]int, len(alive))
	for _, s := range k.shards {
		if s.row.Entry != "" {
			load[s.row.Entry]++
		}
	}
	return load
}

// rank is this entry's place among those that may take a shard over, 0 for the
// first; the first is counted as its owner from then on.
func (k *Keeper) rank(pool string, row shard.OwnerRow, alive []Member, load map[string]int) int {
	order := slices.Clone(alive)
	slices.SortFunc(order, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(notNext(a, row), notNext(b, row)),
			cmp.Compare(float64(load[a.Name]+1)/a.Share, float64(load[b.Name]+1)/b.Share),
			cmp.Compare(xxhash.Sum64String(pool+"/"+a.Name), xxhash.Sum64String(pool+"/"+b.Name)),
		)
	})
	if len(order) > 0 {
		load[order[0].Name]++
	}
	return slices.IndexFunc(order, func(m Member) bool { return m.Name == k.self.Entry })
}

// notNext is 0 for the entry that the last owner named as the next.
func notNext(m Member, row shard.OwnerRow) int {
	if row.Next != "" && m.Name == row.Next {
		return 0
	}
	return 1
}

// claim takes a shard over.
func (k *Keeper) claim(ctx context.Context, pool string, s *state, seen int64) {
	k.mu.Lock()
	cat, workers := k.catalog, k.workers
	k.mu.Unlock()
	o, err := k.open(ctx, pool, seen, cat, workers, Events{
		Sending: func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			s.inDoubt = true
		},
		Over: func(error) { k.over(pool) },
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	s.claiming = false
	if err != nil {
		s.notBefore = k.now() + claimPause
		k.log.Warn().Str("event", "shard_claim_failed").Str("pool", pool).Err(err).Send()
		var conflict platform.ErrConflict
		var notOwner shard.ErrNotOwner
		var notDone platform.ErrNotDone
		if errors.As(err, &conflict) || errors.As(err, &notOwner) || errors.As(err, &notDone) {
			s.inDoubt = false // the feed brings the row
		}
		if s.inDoubt {
			s.loaded = false // the claim may have happened: read the row again
		}
		return
	}
	s.inDoubt = false
	if k.stopping || (s.version > o.RowVersion()) {
		go o.Close()
		return
	}
	s.owner = o
	o.SetCatalog(k.catalog)
	o.SetWorkers(k.workers)
	k.setRow(pool, s, shard.OwnerRow{Entry: k.self.Entry, Start: k.self.Start, Address: k.self.Address, Term: o.Term()}, o.RowVersion())
}

// over notes that an owner of ours has given its shard up.
func (k *Keeper) over(pool string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shards[pool]
	if s == nil || s.owner == nil {
		return
	}
	go s.owner.Close()
	s.owner = nil
	s.loaded = false
	s.notBefore = k.now() + claimPause
	k.Kick()
}

// next returns the entries that should take over from this one, those that own
// least first; an empty name stands for any.
func (k *Keeper) next() (names []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	heirs := slices.DeleteFunc(k.members.Heirs(), func(m Member) bool { return m.Name == k.self.Entry })
	load := k.load(heirs)
	slices.SortFunc(heirs, func(a, b Member) int {
		return cmp.Or(cmp.Compare(float64(load[a.Name]+1)/a.Share, float64(load[b.Name]+1)/b.Share), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range heirs {
		names = append(names, m.Name)
	}
	return append(names, "")
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
