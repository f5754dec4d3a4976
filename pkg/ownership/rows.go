package ownership

import (
	"context"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// ApplyOwner processes the owner row of a shard; a local owner with an older term is closed.
func (mgr *Manager) ApplyOwner(pool string, r platform.Row) {
	var row shard.OwnerRow
	if r.Version > 0 && !r.Removed {
		var err error
		if row, err = shard.DecodeOwner(r.Value); err != nil {
			mgr.members.local.RowMalformed(shard.TableOwner)
			row = shard.OwnerRow{} // treated as without owner; a claim still expects its version
			mgr.log.Error().Str("event", "owner_row_malformed").Str("pool", pool).Int64("version", r.Version).Err(err).Send()
		}
	}
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	s := mgr.shards[pool]
	if s == nil {
		s = &shardState{}
		mgr.shards[pool] = s
	}
	if s.loaded && r.Version <= s.version {
		return
	}
	mgr.setRow(pool, s, row, r.Version)
	if s.owner != nil && row.Term > s.owner.Term() {
		o := s.owner
		s.owner = nil
		s.closeOwner(o)
		mgr.log.Warn().Str("event", "shard_lost").Str("pool", pool).Str("owner", row.Entry).Int64("term", row.Term).Send()
	}
	mgr.Wake()
}

// StandDown applies a newer owner row, at the request of the new owner, and reports whether this
// entry has stopped all work for the shard: its owner is closed and no claim is in progress.
func (mgr *Manager) StandDown(ctx context.Context, pool string, r platform.Row) (closed bool) {
	mgr.ApplyOwner(pool, r)
	mgr.mu.Lock()
	s := mgr.shards[pool]
	busy, ended := s.owner != nil || s.claiming || s.version < r.Version, s.closed
	mgr.mu.Unlock()
	return !busy && awaitClosed(ctx, ended)
}

// awaitClosed waits until the channel is closed, nil counting as closed; it reports false if ctx
// ends first.
func awaitClosed(ctx context.Context, closed <-chan struct{}) bool {
	if closed == nil {
		return true
	}
	select {
	case <-closed:
		return true
	case <-ctx.Done():
		return false
	}
}

// isClosed reports whether the channel is closed, nil counting as closed.
func isClosed(closed <-chan struct{}) bool {
	if closed == nil {
		return true
	}
	select {
	case <-closed:
		return true
	default:
		return false
	}
}

// setRow stores an owner row and updates which entries own shards. The caller holds mu.
func (mgr *Manager) setRow(pool string, s *shardState, row shard.OwnerRow, version int64) {
	s.row, s.version, s.loaded = row, version, true
	s.inDoubt = false
	s.rowSeenAt = mgr.now()
	s.goneSince, s.suspectSince = 0, 0
	mgr.log.Info().Str("event", "shard_owner").Str("pool", pool).Str("owner", row.Entry).Int64("term", row.Term).Int64("version", version).Send()
	owners := map[string]bool{}
	for _, s := range mgr.shards {
		owners[s.row.Entry] = true
	}
	mgr.members.SetOwners(owners)
	mgr.notifyOwnerChange()
}

// notifyOwnerChange wakes everyone who waits for a change of owner. The caller holds mu.
func (mgr *Manager) notifyOwnerChange() {
	close(mgr.changed)
	mgr.changed = make(chan struct{})
}

// Owner returns the owner row of a shard and its owner if it runs in this process; changed is
// closed when any owner changes.
func (mgr *Manager) Owner(pool string) (row shard.OwnerRow, local LocalOwner, changed <-chan struct{}) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	s := mgr.shards[pool]
	if s == nil {
		return shard.OwnerRow{}, nil, mgr.changed
	}
	return s.row, s.owner, mgr.changed
}

// UnreadPools returns the pools whose owner row has to be read.
func (mgr *Manager) UnreadPools() (pools []string) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for pool, s := range mgr.shards {
		if !s.loaded {
			pools = append(pools, pool)
		}
	}
	return pools
}

// latestVersion returns the highest version of an owner row seen. The caller holds mu.
func (mgr *Manager) latestVersion() (version int64) {
	for _, s := range mgr.shards {
		version = max(version, s.version)
	}
	return version
}

// RowsSince returns the owner rows newer than a version.
func (mgr *Manager) RowsSince(after int64) (news []schema.OwnerNews) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for pool, s := range mgr.shards {
		if s.version <= after {
			continue
		}
		raw, err := shard.EncodeOwner(s.row)
		if err != nil {
			mgr.log.Error().Str("event", "owner_row_not_encoded").Str("pool", pool).Err(err).Send()
			continue
		}
		news = append(news, schema.OwnerNews{Pool: pool, Version: int(s.version), Row: raw})
	}
	return news
}

// OwnersVersion returns the highest version of an owner row seen, and whether the outcome of a
// takeover that was sent to the table service is unknown.
func (mgr *Manager) OwnersVersion() (version int64, inDoubt bool) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for _, s := range mgr.shards {
		inDoubt = inDoubt || s.inDoubt
	}
	return mgr.latestVersion(), inDoubt
}
