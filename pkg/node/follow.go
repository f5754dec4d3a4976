package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// longPollWait is how long the service may hold one long poll without an answer. After an
	// outage the service never answers polls sent during it, so the bound limits how long such a
	// poll delays later changes.
	longPollWait = time.Second
	// idleLongPollWait is the same for idle feeds, those of tables that rarely change. The shorter
	// polls of other feeds detect an outage; these polls are then canceled and repeated.
	idleLongPollWait = 4 * time.Second
	// readTimeout bounds the read of one row.
	readTimeout = 2 * time.Second
	// bulkReadTimeout bounds the read of a large answer, such as a configuration: 480 KB take 2 s on a
	// link of 2 Mbit/s that carries nothing else.
	bulkReadTimeout = 15 * time.Second
	// peerCatalogDelay is how long to wait for a newer configuration from the table service before
	// a peer is asked for it; both transfers at once would share the link.
	peerCatalogDelay = 2500 * time.Millisecond
	// fullPageRows is the number of rows in an answer from which more changes are assumed to wait;
	// the service returns up to 500. The next poll then follows without a pause: with one, a feed
	// reads 1,250 rows a second at most, and 3,000 workers write 2,000.
	fullPageRows = 400
	// feedRetryDelay is the base of the pause after a failed poll, which has random jitter.
	feedRetryDelay = 250 * time.Millisecond
	// maxLoggedAccounts bounds the accounts that one log line names.
	maxLoggedAccounts = 10
)

// feed describes how a table is followed.
type feed struct {
	table string
	list  func(ctx context.Context) (version int64, err error) // reads the whole table
	apply func(r platform.Row)
	// onBatch is called after the rows of each answer were applied; may be nil.
	onBatch     func()
	minInterval time.Duration // minimum time between two polls, 0 for none
	// idle selects idleLongPollWait while the service answers, for a table that rarely changes.
	idle bool
	// active reports whether to continue; nil for always.
	active func() bool
}

// follow follows a table until ctx ends or the feed is no longer active. It lists the table first,
// and again when the service no longer has the changes since then.
func (n *Node) follow(ctx context.Context, f feed) error {
	after := int64(-1)
	for ctx.Err() == nil && (f.active == nil || f.active()) {
		started := time.Now()
		rows, err := n.followOnce(ctx, f, &after)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			if rows < fullPageRows {
				_ = pause.For(ctx, f.minInterval)
			}
			continue
		}
		if errors.As(err, new(platform.ErrHistoryGone)) {
			n.log.Warn().Str("event", "feed_history_gone").Str("table", f.table).Int64("after", after).Send()
			after = -1
			continue
		}
		if time.Since(started) > platform.ReadIdleTimeout {
			continue // the poll itself has waited long enough
		}
		_ = pause.For(ctx, feedRetryDelay/2+rand.N(feedRetryDelay))
	}
	return nil
}

// followOnce lists the table or polls for its changes; it returns the number of changed rows.
func (n *Node) followOnce(ctx context.Context, f feed, after *int64) (rows int, err error) {
	if *after < 0 {
		readCtx, cancel := context.WithTimeout(ctx, bulkReadTimeout)
		defer cancel()
		version, err := f.list(readCtx)
		if err == nil {
			*after = version
		}
		return 0, err
	}
	wait := longPollWait
	if f.idle && n.rows.reachable() {
		wait = idleLongPollWait
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait+bulkReadTimeout)
	defer cancel()
	if f.idle {
		defer n.rows.notifyLoss(cancel)()
	}
	page, err := n.rows.FollowRows(waitCtx, f.table, *after, wait)
	if err != nil {
		return 0, err
	}
	for _, r := range page.Rows {
		f.apply(r)
	}
	if len(page.Rows) > 0 && f.onBatch != nil {
		f.onBatch()
	}
	*after = max(*after, page.Version)
	return len(page.Rows), nil
}

// listAll reads all rows of a table without partitions.
func (n *Node) listAll(ctx context.Context, table string, f func(platform.Row)) (version int64, err error) {
	return platform.ListAll(ctx, n.rows, table, "", f)
}

func (n *Node) followCatalog(ctx context.Context) error {
	return n.follow(ctx, feed{
		table: n.source.CatalogTable,
		list:  n.listOperatorRows,
		apply: n.applyOperatorRow,
	})
}

// applyOperatorRow applies a row that the operator has written: an evacuation, a configuration or a
// maintenance wave.
func (n *Node) applyOperatorRow(r platform.Row) {
	n.applyEvacuation(r)
	switch {
	case r.Key != n.source.CatalogKey:
		n.applyWave(r)
	case !r.Removed:
		n.applyReceivedCatalog(r.Value, "table")
	}
}

// SetCatalog puts an encoded configuration in force unless a newer one is; on an error the current
// one stays.
func (n *Node) SetCatalog(raw []byte) (err error) {
	return n.applyCatalog(raw, "caller")
}

// applyReceivedCatalog applies a configuration read from the table service or a peer and logs
// errors.
func (n *Node) applyReceivedCatalog(raw []byte, from string) {
	if err := n.applyCatalog(raw, from); err != nil {
		n.log.Error().Str("event", "catalog_malformed").Str("from", from).Err(err).Send()
	}
}

func (n *Node) applyCatalog(raw []byte, from string) error {
	c, err := n.source.DecodeCatalog(raw)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.catalog.Load(); old != nil && old.Version >= c.Version {
		return nil
	}
	n.catalog.Store(&storedCatalog{Catalog: c, raw: raw})
	n.ownership.SetCatalog(c)
	n.log.Info().Str("event", "catalog").Int64("version", c.Version).Str("from", from).Int("queues", len(c.Queues)).Int("pools", len(c.Pools)).
		Int("accounts", len(c.Accounts)).Send()
	n.logWithoutWeight(c)
	return nil
}

// logWithoutWeight names accounts that have no guaranteed rate: all their jobs count as exceeding it.
func (n *Node) logWithoutWeight(c *catalog.Catalog) {
	names := c.AccountsWithoutWeight()
	if len(names) == 0 {
		return
	}
	n.log.Info().Str("event", "accounts_without_weight").Int64("version", c.Version).
		Strs("accounts", names[:min(len(names), maxLoggedAccounts)]).Int("count", len(names)).Send()
}

// fetchCatalog asks a peer for a newer configuration, once per version.
func (n *Node) fetchCatalog(c *peer.Caller, version int64) {
	n.mu.Lock()
	if n.requestedCatalog >= version {
		n.mu.Unlock()
		return
	}
	n.requestedCatalog = version
	n.mu.Unlock()
	go n.fetchCatalogFrom(c, version)
}

func (n *Node) fetchCatalogFrom(c *peer.Caller, version int64) {
	if n.rows.reachable() {
		time.Sleep(peerCatalogDelay)
	}
	if n.catalogVersion() >= version {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), bulkReadTimeout)
	defer cancel()
	reply, err := c.Call(ctx, &schema.Call{Kind: schema.CallKindCatalog})
	if err != nil || len(reply.Catalog) == 0 {
		n.log.Warn().Str("event", "catalog_fetch_failed").Int64("version", version).Err(err).Send()
		n.mu.Lock()
		n.requestedCatalog = 0
		n.mu.Unlock()
		return
	}
	n.applyReceivedCatalog(reply.Catalog, "peer")
}

func (n *Node) followMembers(ctx context.Context) error {
	apply := func(r platform.Row) { n.members.Apply(ctx, r) }
	registered := false
	return n.follow(ctx, feed{
		table: ownership.TableMember, idle: true,
		list: func(ctx context.Context) (int64, error) {
			if !registered {
				if err := n.members.Register(ctx); err != nil {
					return 0, err
				}
				registered = true
			}
			return n.listAll(ctx, ownership.TableMember, apply)
		},
		apply: apply,
	})
}

// followOwners follows the owner rows. The table has a partition for each shard, so existing rows
// are read one by one in the background.
func (n *Node) followOwners(ctx context.Context) error {
	go n.readOwners(ctx)
	return n.follow(ctx, feed{
		table: shard.TableOwner, idle: true,
		list: func(ctx context.Context) (int64, error) {
			page, err := n.rows.ListRows(ctx, shard.TableOwner, "", "")
			return page.Version, err
		},
		apply: func(r platform.Row) { n.ownership.ApplyOwner(r.Partition, r) },
	})
}

// readOwners reads owner rows that are not known yet, until ctx ends.
func (n *Node) readOwners(ctx context.Context) {
	tick := time.NewTicker(feedRetryDelay)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, pool := range n.ownership.UnreadPools() {
			readCtx, cancel := context.WithTimeout(ctx, readTimeout)
			row, err := shard.ReadOwner(readCtx, n.rows, pool)
			cancel()
			if err != nil {
				break
			}
			n.ownership.ApplyOwner(pool, row)
		}
	}
}
