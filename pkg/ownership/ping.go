package ownership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// Pings.
const (
	// pingInterval is the time between two pings of an entry that owns a shard.
	pingInterval = 400 * time.Millisecond
	// pingSpacing times the number of entries is the interval for those that own
	// none, so that the cost to each entry does not grow with their number.
	pingSpacing = 60 * time.Millisecond
	// pingTimeout bounds one ping.
	pingTimeout = 900 * time.Millisecond
	// silence is how long an owner may go unheard before it is held for gone.
	silence = 1100 * time.Millisecond
)

// pingLoop pings an entry until ctx ends.
func (m *Members) pingLoop(ctx context.Context, k *known) {
	for ctx.Err() == nil {
		m.ping(ctx, k)
		m.pause(ctx, k)
	}
}

// pause waits until the next ping of an entry is due.
func (m *Members) pause(ctx context.Context, k *known) {
	t := time.NewTimer(m.interval(k))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-k.wake:
	case <-t.C:
	}
}

// interval is the time until the next ping of an entry.
func (m *Members) interval(k *known) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k.owns {
		return pingInterval
	}
	return max(pingInterval, time.Duration(len(m.peers))*pingSpacing)
}

// ping asks an entry once and takes what it says.
func (m *Members) ping(ctx context.Context, k *known) {
	version := m.local.CatalogVersion()
	sentAt := m.now()
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	reply, err := k.caller.Call(pingCtx, &schema.Call{Kind: schema.CallKindPing, CatalogVersion: int(version), OwnersVersion: int(m.local.OwnersVersion())})
	timedOut := pingCtx.Err() != nil
	cancel()
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	before := m.alive(k)
	if err == nil {
		k.noteReply(reply, sentAt, m.now())
	} else {
		var notSent peer.ErrNotSent
		k.refused = errors.As(err, &notSent) && notSent.Refused
		var lost peer.ErrLinkLost
		if errors.As(err, &lost) && timedOut {
			k.caller.Close() // a silent link is not waited for
		}
	}
	after := m.alive(k)
	m.noteMajority()
	m.mu.Unlock()
	if before != after {
		m.log.Info().Str("event", "entry_seen").Str("entry", k.Name).Bool("alive", after).Err(err).Send()
	}
	if before != after || k.refused {
		m.local.EntryChanged()
	}
	if err != nil {
		return
	}
	for _, o := range reply.Owners {
		m.local.OwnerNews(o.Pool, shard.OwnerRowOf(o))
	}
	if int64(reply.CatalogVersion) > version {
		m.local.CatalogNewer(k.caller, int64(reply.CatalogVersion))
	}
}

// noteReply takes the answer to a ping that was sent at sentAt.
func (k *known) noteReply(reply *schema.CallReply, sentAt, now time.Duration) {
	k.heardAt, k.refused = now, false
	k.noteStore(reply.ReachesStore, now)
	k.stopping = reply.Stopping
	k.sentAt, k.seen = sentAt, int64(reply.OwnersVersion)
	if reply.Claiming {
		k.seen = -1
	}
}

// noteStore notes whether the table service answers the entry.
func (k *known) noteStore(reaches bool, now time.Duration) {
	switch {
	case reaches:
		k.storeLost = 0
	case k.storeLost == 0:
		k.storeLost = now
	}
}

// alive tells whether an entry was heard of late; the lock is held.
func (m *Members) alive(k *known) bool {
	if k.refused || k.heardAt == 0 {
		return false
	}
	limit := silence
	if !k.owns {
		limit += time.Duration(len(m.peers)) * pingSpacing
	}
	return m.now()-k.heardAt < limit
}
