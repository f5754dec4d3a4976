package ownership

import (
	"context"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// ApplyOwner takes an owner row.
func (k *Keeper) ApplyOwner(pool string, r platform.Row) {
	var row shard.OwnerRow
	if r.Version > 0 && !r.Removed {
		var err error
		if row, err = shard.DecodeOwner(r.Value); err != nil {
			row = shard.OwnerRow{} // it names no owner; a claim has to expect its version
			k.log.Error().Str("event", "owner_row_malformed").Str("pool", pool).Int64("version", r.Version).Err(err).Send()
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
		s.end(o)
		k.log.Warn().Str("event", "shard_lost").Str("pool", pool).Str("owner", row.Entry).Int64("term", row.Term).Send()
	}
	k.Kick()
}

// StandDown takes the row of a later owner, and reports whether this entry does no more work for the
// shard: what it did has ended, and it is not about to begin.
func (k *Keeper) StandDown(ctx context.Context, pool string, r platform.Row) (stands bool) {
	k.ApplyOwner(pool, r)
	k.mu.Lock()
	s := k.shards[pool]
	busy, ended := s.owner != nil || s.claiming || s.version < r.Version, s.ended
	k.mu.Unlock()
	return !busy && awaitEnd(ctx, ended)
}

// awaitEnd waits until work of this entry has ended, if there was any; it reports whether it has.
func awaitEnd(ctx context.Context, ended <-chan struct{}) bool {
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
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
	k.ownerChanged()
}

// ownerChanged wakes those who wait for another owner of a shard; the lock is held.
func (k *Keeper) ownerChanged() {
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

// Unread returns the pools whose owner row has not been read yet.
func (k *Keeper) Unread() (pools []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for pool, s := range k.shards {
		if !s.loaded {
			pools = append(pools, pool)
		}
	}
	return pools
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
