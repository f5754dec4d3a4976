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
	// pingSpacing times the square of the number of entries is the interval for
	// those that own none: 3.7 s among 43, 19 s among 97. Their answers matter only
	// when something is wrong, and then they are asked at once. At 60 ms times the
	// number an entry among 97 sent and answered 34 pings a second.
	pingSpacing = 2 * time.Millisecond
	// longestPingInterval bounds that interval.
	longestPingInterval = 20 * time.Second
	// doubtSpacing times the number of entries is the interval while the table
	// service does not answer this entry, or the other one was silent at the last
	// ping: 2 s among 97.
	doubtSpacing = 20 * time.Millisecond
	// quietOwner is how long an owner may leave a ping unanswered before it is
	// checked with checkedPeers others whether these answer.
	quietOwner   = 500 * time.Millisecond
	checkedPeers = 12
	// pingTimeout bounds one ping.
	pingTimeout = 900 * time.Millisecond
	// certainlyRefused is how many tries in a row nothing has listened at an address when its
	// process has certainly ended.
	certainlyRefused = 2
	// refusedAgain is the time between two such tries.
	refusedAgain = 100 * time.Millisecond
	// silence is how long an owner may go unheard before it is held for gone.
	silence = 1100 * time.Millisecond
)

// pingLoop pings an entry until ctx ends. The next ping does not wait for an answer
// that is late: an owner whose link or processor is full answers all of them late, and
// is heard as often as before.
func (m *Members) pingLoop(ctx context.Context, k *known) {
	for ctx.Err() == nil {
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			// A ping whose link broke says nothing of the entry: it is pinged once
			// more at once, by another link.
			if linkBroke := m.ping(ctx, k); linkBroke {
				m.ping(ctx, k)
			}
		}()
		late := time.NewTimer(pingInterval)
		select {
		case <-answered:
		case <-late.C:
		}
		late.Stop()
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
	reached := m.local.ReachesStore()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case k.refused && k.refusals < certainlyRefused:
		return refusedAgain
	case k.owns:
		return pingInterval
	case !reached && m.owns:
		// Without the service the shards here are confirmed by what all others say.
		return pingInterval
	case !reached || k.lost:
		return max(pingInterval, time.Duration(len(m.peers))*doubtSpacing)
	default:
		return m.calmInterval()
	}
}

// calmInterval is the time between two pings of an entry that owns nothing while
// nothing is wrong; the lock is held.
func (m *Members) calmInterval() time.Duration {
	n := time.Duration(len(m.peers))
	return min(longestPingInterval, max(pingInterval, n*n*pingSpacing))
}

// Hurry has all entries pinged at once: what is known of them may be older than
// what is to be decided on it.
func (m *Members) Hurry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.peers {
		k.hurry()
	}
}

// checkSome asks some others than an owner that is quiet; which ones is left to chance.
func (m *Members) checkSome(quiet *known) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !quiet.owns {
		return
	}
	asked := 0
	for _, k := range m.peers { // in an order that differs each time
		if k != quiet && asked < checkedPeers {
			k.hurry()
			asked++
		}
	}
}

// ping asks an entry once and takes what it says; it reports whether the link broke under it.
func (m *Members) ping(ctx context.Context, k *known) (linkBroke bool) {
	version := m.local.CatalogVersion()
	sentAt := m.now()
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	check := time.AfterFunc(quietOwner, func() { m.checkSome(k) })
	reply, err := k.caller.Call(pingCtx, &schema.Call{Kind: schema.CallKindPing, CatalogVersion: int(version), OwnersVersion: int(m.local.OwnersVersion())})
	timedOut := pingCtx.Err() != nil
	check.Stop()
	cancel()
	if ctx.Err() != nil {
		return false
	}
	m.note(k, reply, err, sentAt, timedOut)
	if err != nil {
		return !timedOut && errors.As(err, new(peer.ErrLinkLost))
	}
	for _, o := range reply.Owners {
		m.local.OwnerNews(o.Pool, shard.OwnerRowFromNews(o))
	}
	if int64(reply.CatalogVersion) > version {
		m.local.CatalogNewer(k.caller, int64(reply.CatalogVersion))
	}
	return false
}

// note takes the outcome of a ping, and tells when an entry was lost or regained.
func (m *Members) note(k *known, reply *schema.CallReply, err error, sentAt time.Duration, timedOut bool) {
	m.mu.Lock()
	before := m.alive(k)
	if err == nil {
		k.noteReply(reply, sentAt, m.now())
	} else {
		k.noteMiss(err, sentAt, m.now(), timedOut)
	}
	after, refused := m.alive(k), k.refused
	m.noteMajority()
	m.mu.Unlock()
	if before != after {
		m.log.Info().Str("event", "entry_seen").Str("entry", k.Name).Bool("alive", after).Err(err).Send()
	}
	if before != after || refused {
		m.local.EntryChanged()
	}
}

// noteReply takes the answer to a ping that was sent at sentAt; one that comes after
// the answer to a later ping is a sign of life and no more.
func (k *known) noteReply(reply *schema.CallReply, sentAt, now time.Duration) {
	k.heardAt = now
	if sentAt < k.sentAt {
		return
	}
	k.refused, k.refusals, k.lost = false, 0, false
	k.noteStore(reply.ReachesStore, now)
	k.stopping = reply.Stopping
	k.sentAt, k.seen = sentAt, int64(reply.OwnersVersion)
	if reply.Claiming {
		k.seen = -1
	}
}

// noteMiss takes the lack of an answer to a ping that was sent at sentAt, unless a
// later one was answered.
func (k *known) noteMiss(err error, sentAt, now time.Duration, timedOut bool) {
	if sentAt < k.sentAt {
		return
	}
	var notSent peer.ErrNotSent
	k.refused = errors.As(err, &notSent) && notSent.Refused
	if k.refused {
		k.refusals++
	} else {
		k.refusals = 0
	}
	k.lost = timedOut
	k.missedAt = now
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

// alive tells whether an entry was heard of late; the lock is held. One that owns
// nothing is asked rarely: it counts as heard until it leaves a ping unanswered.
func (m *Members) alive(k *known) bool {
	if k.refused || k.heardAt == 0 {
		return false
	}
	if k.owns {
		return m.now()-m.lastSign(k) < silence
	}
	return !k.lost && m.now()-k.heardAt < silence+m.calmInterval()
}

// lastSign is when an entry last gave a sign of life: an answer to a ping, or
// anything on its link, an answer that comes too late included. An owner that is
// slow is not gone, and its heir would be as slow; the lock is held.
func (m *Members) lastSign(k *known) time.Duration {
	if k.caller == nil {
		return k.heardAt
	}
	if at := k.caller.Heard(); !at.IsZero() {
		// By the steady clock: after a suspension this looks younger than it is, which only
		// puts a takeover off.
		return max(k.heardAt, m.now()-time.Since(at))
	}
	return k.heardAt
}
