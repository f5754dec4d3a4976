package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// feedWait is how long one call for changes waits. A service that was silent
	// for a while never answers the calls of that time, although their connections
	// stand: the wait bounds for how long such a call hides what happens after it.
	feedWait = time.Second
	// calmWait is how long a call for changes of entries or owners waits. Of three feeds that an
	// entry asks anew each second one is enough to notice that the service has fallen silent;
	// then the calls of the others are given up and sent again.
	calmWait = 4 * time.Second
	// readTimeout bounds the read of one row.
	readTimeout = 2 * time.Second
	// longestRead bounds a call whose answer may be large, as long as it goes on
	// coming: 480 KB of configuration take 2 s on a link of 2 Mbit/s that carries
	// nothing else.
	longestRead = 15 * time.Second
	// peerCatalogAfter is how long an entry that the service answers waits for a
	// configuration that a peer has already, before it asks the peer: both at once
	// share the link, so that each takes twice as long.
	peerCatalogAfter = 2500 * time.Millisecond
	// fullPage is how many changed rows in one answer tell that more wait: the service
	// gives 500 at once. A follower that pauses after each full page reads 1,250 a second
	// at most; 3,000 workers write 2,000, so that an owner of 750 of them started tasks on
	// workers up to 5 s after they had said that they leave, and found new ones as late.
	fullPage = 400
	// retryFeed is the pause after a read that was refused; half of it is random, so that entries do not come together.
	retryFeed = 250 * time.Millisecond
)

// feed follows one table.
type feed struct {
	table string
	list  func(ctx context.Context) (version int64, err error) // reads the whole table
	apply func(r platform.Row)
	// applied is called after the rows of each answer, nil for nothing.
	applied func()
	pace    time.Duration // least time between two calls, 0 for none
	// calm has its calls wait for longer as long as the service answers.
	calm bool
	// wanted tells whether to go on, nil for always.
	wanted func() bool
}

// follow keeps to a table until ctx ends or the feed is not wanted any more.
func (n *Node) follow(ctx context.Context, f feed) error {
	after := int64(-1)
	for ctx.Err() == nil && (f.wanted == nil || f.wanted()) {
		started := time.Now()
		rows, err := n.followOnce(ctx, f, &after)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			if rows < fullPage {
				_ = pause.For(ctx, f.pace)
			}
			continue
		}
		if errors.As(err, new(platform.ErrHistoryGone)) {
			n.log.Warn().Str("event", "feed_history_gone").Str("table", f.table).Int64("after", after).Send()
			after = -1
			continue
		}
		if time.Since(started) > platform.AnswerSilence {
			continue // it has waited for an answer that did not come
		}
		_ = pause.For(ctx, retryFeed/2+rand.N(retryFeed))
	}
	return nil
}

// followOnce reads the table, or what has changed in it since; it returns the number of changed rows.
func (n *Node) followOnce(ctx context.Context, f feed, after *int64) (rows int, err error) {
	if *after < 0 {
		readCtx, cancel := context.WithTimeout(ctx, longestRead)
		defer cancel()
		version, err := f.list(readCtx)
		if err == nil {
			*after = version
		}
		return 0, err
	}
	wait := feedWait
	if f.calm && n.rows.ok() {
		wait = calmWait
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait+longestRead)
	defer cancel()
	if f.calm {
		defer n.rows.whenLost(cancel)()
	}
	page, err := n.rows.FollowRows(waitCtx, f.table, *after, wait)
	if err != nil {
		return 0, err
	}
	for _, r := range page.Rows {
		f.apply(r)
	}
	if len(page.Rows) > 0 && f.applied != nil {
		f.applied()
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
		list:  n.listOperator,
		apply: n.applyOperator,
	})
}

// applyOperator takes a row that the operator wrote.
func (n *Node) applyOperator(r platform.Row) {
	n.applyEvacuation(r)
	if r.Removed {
		return
	}
	if r.Key == n.source.CatalogKey {
		n.setCatalog(r.Value, "table")
		return
	}
	w, ok, err := n.source.DecodeWave(r.Key, r.Value)
	if err != nil {
		n.log.Error().Str("event", "wave_malformed").Str("key", r.Key).Err(err).Send()
	}
	if ok && err == nil {
		n.setWave(w)
	}
}

// SetCatalog puts an encoded configuration in force unless a newer one is; an error
// leaves the last good one.
func (n *Node) SetCatalog(raw []byte) (err error) {
	return n.takeCatalog(raw, "caller")
}

// setCatalog does what SetCatalog does with a configuration that came over a wire.
func (n *Node) setCatalog(raw []byte, from string) {
	if err := n.takeCatalog(raw, from); err != nil {
		n.log.Error().Str("event", "catalog_malformed").Str("from", from).Err(err).Send()
	}
}

func (n *Node) takeCatalog(raw []byte, from string) error {
	c, err := n.source.DecodeCatalog(raw)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.catalog.Load(); old != nil && old.Version >= c.Version {
		return nil
	}
	n.catalog.Store(&stored{Catalog: c, raw: raw})
	n.keeper.SetCatalog(c)
	n.log.Info().Str("event", "catalog").Int64("version", c.Version).Str("from", from).Int("queues", len(c.Queues)).Int("pools", len(c.Pools)).
		Int("accounts", len(c.Accounts)).Send()
	return nil
}

// fetchCatalog asks a peer for a newer configuration than ours.
func (n *Node) fetchCatalog(c *peer.Caller, version int64) {
	n.mu.Lock()
	if n.asked >= version {
		n.mu.Unlock()
		return
	}
	n.asked = version
	n.mu.Unlock()
	go n.fetchCatalogFrom(c, version)
}

func (n *Node) fetchCatalogFrom(c *peer.Caller, version int64) {
	if n.rows.ok() {
		time.Sleep(peerCatalogAfter)
	}
	if n.catalogVersion() >= version {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), longestRead)
	defer cancel()
	reply, err := c.Call(ctx, &schema.Call{Kind: schema.CallKindCatalog})
	if err != nil || len(reply.Catalog) == 0 {
		n.log.Warn().Str("event", "catalog_fetch_failed").Int64("version", version).Err(err).Send()
		n.mu.Lock()
		n.asked = 0
		n.mu.Unlock()
		return
	}
	n.setCatalog(reply.Catalog, "peer")
}

func (n *Node) followMembers(ctx context.Context) error {
	apply := func(r platform.Row) { n.members.Apply(ctx, r) }
	registered := false
	return n.follow(ctx, feed{
		table: ownership.TableMember, calm: true,
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

// followOwners follows the owner rows; a shard's row is read once before,
// since the table has a partition for each.
func (n *Node) followOwners(ctx context.Context) error {
	go n.readOwners(ctx)
	return n.follow(ctx, feed{
		table: shard.TableOwner, calm: true,
		list: func(ctx context.Context) (int64, error) {
			page, err := n.rows.ListRows(ctx, shard.TableOwner, "", "")
			return page.Version, err
		},
		apply: func(r platform.Row) { n.keeper.ApplyOwner(r.Partition, r) },
	})
}

// readOwners reads the owner rows of shards that are not known yet.
func (n *Node) readOwners(ctx context.Context) {
	tick := time.NewTicker(retryFeed)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, pool := range n.keeper.UnreadPools() {
			readCtx, cancel := context.WithTimeout(ctx, readTimeout)
			row, err := shard.ReadOwner(readCtx, n.rows, pool)
			cancel()
			if err != nil {
				break
			}
			n.keeper.ApplyOwner(pool, row)
		}
	}
}
