package ownership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// Timing of pings.
const (
	// pingInterval is the time between pings of an entry that owns a shard. It is shorter than
	// pingTimeout, so pings of a slow owner overlap.
	pingInterval = 400 * time.Millisecond
	// idlePingFactor times the square of the number of entries is the interval between pings of an
	// entry that owns no shard, so that the total rate of pings stays constant as the cluster
	// grows. Their answers matter only when something is wrong, and then they are pinged at once.
	idlePingFactor = 2 * time.Millisecond
	// maxIdlePingInterval bounds that interval.
	maxIdlePingInterval = 20 * time.Second
	// degradedPingFactor times the number of entries is the interval between pings of an idle entry
	// that did not answer, or of any idle entry while the table service does not answer.
	degradedPingFactor = 20 * time.Millisecond
	// latePingDelay is how long a ping of an owner may stay unanswered before peerSampleSize other
	// entries are pinged to check this entry's own connection.
	latePingDelay  = 500 * time.Millisecond
	peerSampleSize = 12
	// pingTimeout bounds one ping.
	pingTimeout = 900 * time.Millisecond
	// refusalsUntilEnded is the number of consecutive refused connections after which a process
	// counts as ended; a single refusal may be transient.
	refusalsUntilEnded = 2
	// refusedRetryInterval is the time between a refused connection and the next attempt.
	refusedRetryInterval = 100 * time.Millisecond
	// ownerTimeout is how long an owner may be silent before it counts as gone.
	ownerTimeout = 1100 * time.Millisecond
)

// pingLoop pings an entry until ctx ends. It does not wait for a late answer before the next ping,
// so an owner on a saturated link or processor still shows regular activity.
func (m *Members) pingLoop(ctx context.Context, p *memberState) {
	for ctx.Err() == nil {
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			// A broken connection does not show that the entry is down: ping again on a new one.
			if linkBroke := m.ping(ctx, p); linkBroke {
				m.ping(ctx, p)
			}
		}()
		interval := time.NewTimer(pingInterval)
		select {
		case <-answered:
		case <-interval.C:
		}
		interval.Stop()
		m.awaitNextPing(ctx, p)
	}
}

// awaitNextPing waits until the next ping of an entry is due.
func (m *Members) awaitNextPing(ctx context.Context, p *memberState) {
	t := time.NewTimer(m.nextPingDelay(p))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-p.wake:
	case <-t.C:
	}
}

// nextPingDelay returns the time until the next ping of an entry.
func (m *Members) nextPingDelay(p *memberState) time.Duration {
	reached := m.local.ReachesStore()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case p.refused && p.consecutiveRefusals < refusalsUntilEnded:
		return refusedRetryInterval
	case p.owns:
		return pingInterval
	case !reached && m.owns:
		// Without the table service, local owners are confirmed by the answers of all others.
		return pingInterval
	case !reached || p.pingTimedOut:
		return max(pingInterval, time.Duration(len(m.peers))*degradedPingFactor)
	default:
		return m.idlePingInterval()
	}
}

// idlePingInterval returns the interval between pings of an entry that owns no shard, in normal
// operation. The caller holds mu.
func (m *Members) idlePingInterval() time.Duration {
	n := time.Duration(len(m.peers))
	return min(maxIdlePingInterval, max(pingInterval, n*n*idlePingFactor))
}

// PingAll pings all entries at once, to refresh what is known of them.
func (m *Members) PingAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.pingNow()
	}
}

// pingSample pings a random sample of other entries if the one that is late owns a shard.
func (m *Members) pingSample(late *memberState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !late.owns {
		return
	}
	pinged := 0
	for _, p := range m.peers { // map order is random
		if p != late && pinged < peerSampleSize {
			p.pingNow()
			pinged++
		}
	}
}

// pingZone pings the other entries of an entry's zone, which show whether the zone is cut off. The
// caller holds mu.
func (m *Members) pingZone(p *memberState) {
	for _, other := range m.peers {
		if other != p && other.Zone == p.Zone {
			other.pingNow()
		}
	}
}

// ping pings an entry once and processes its answer; linkBroke reports that the connection failed
// before the timeout.
func (m *Members) ping(ctx context.Context, p *memberState) (linkBroke bool) {
	version := m.local.CatalogVersion()
	sentAt := m.now()
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	check := time.AfterFunc(latePingDelay, func() { m.pingSample(p) })
	reply, err := p.caller.Call(pingCtx, &schema.Call{Kind: schema.CallKindPing, CatalogVersion: int(version), OwnersVersion: int(m.local.OwnersVersion())})
	timedOut := pingCtx.Err() != nil
	check.Stop()
	cancel()
	if ctx.Err() != nil {
		return false
	}
	m.recordPing(p, reply, err, sentAt, timedOut)
	if err != nil {
		return !timedOut && errors.As(err, new(peer.ErrNoAnswer))
	}
	for _, o := range reply.Owners {
		m.local.OwnerRowReported(o.Pool, shard.OwnerRowFromNews(o))
	}
	if int64(reply.CatalogVersion) > version {
		m.local.CatalogNewer(p.caller, int64(reply.CatalogVersion))
	}
	return false
}

// recordPing records the outcome of a ping and logs if the entry became alive or silent.
func (m *Members) recordPing(p *memberState, reply *schema.CallReply, err error, sentAt time.Duration, timedOut bool) {
	m.mu.Lock()
	before := m.alive(p)
	if err == nil {
		p.recordReply(reply, sentAt, m.now())
	} else {
		p.recordFailure(err, sentAt, m.now(), timedOut)
	}
	after, refused := m.alive(p), p.refused
	if p.consecutiveRefusals == 1 {
		m.pingZone(p)
	}
	m.updateMajority()
	m.mu.Unlock()
	if before != after {
		m.log.Info().Str("event", "entry_seen").Str("entry", p.Name).Bool("alive", after).Err(err).Send()
	}
	if before != after || refused {
		m.local.EntryChanged()
	}
}

// recordReply records the answer to a ping sent at sentAt. An answer that arrives after that of a
// later ping only shows that the entry is alive.
func (p *memberState) recordReply(reply *schema.CallReply, sentAt, now time.Duration) {
	p.heardAt = now
	if sentAt < p.answeredPingAt {
		return
	}
	p.refused, p.consecutiveRefusals, p.pingTimedOut = false, 0, false
	p.recordStoreState(reply.ReachesStore, now)
	p.stopping, p.released, p.processStart = reply.Stopping, reply.Released, int64(reply.Start)
	p.answeredPingAt, p.ownersVersion = sentAt, int64(reply.OwnersVersion)
	if reply.Claiming {
		p.ownersVersion = -1
	}
}

// recordFailure records that a ping sent at sentAt failed, unless a later one was answered.
func (p *memberState) recordFailure(err error, sentAt, now time.Duration, timedOut bool) {
	if sentAt < p.answeredPingAt {
		return
	}
	var notSent peer.ErrNotSent
	p.refused = errors.As(err, &notSent) && notSent.Refused
	if p.refused {
		if p.consecutiveRefusals == 0 {
			p.refusedSince = sentAt
		}
		p.consecutiveRefusals++
	} else {
		p.consecutiveRefusals = 0
	}
	p.pingTimedOut = timedOut
	p.failedAt = now
}

// recordStoreState records whether the table service answers the entry.
func (p *memberState) recordStoreState(reaches bool, now time.Duration) {
	switch {
	case reaches:
		p.storeLostSince = 0
	case p.storeLostSince == 0:
		p.storeLostSince = now
	}
}

// alive reports whether an entry was heard recently enough. An entry that owns no shard is pinged
// rarely and counts as alive until a ping times out. The caller holds mu.
func (m *Members) alive(p *memberState) bool {
	if p.refused || p.heardAt == 0 {
		return false
	}
	if p.owns {
		return m.now()-m.lastActivity(p) < ownerTimeout
	}
	return !p.pingTimedOut && m.now()-p.heardAt < ownerTimeout+m.idlePingInterval()
}

// lastActivity returns when an entry was last heard, by an answered ping or by any data on its
// connection, such as a late answer: a slow owner is not gone. The caller holds mu.
func (m *Members) lastActivity(p *memberState) time.Duration {
	if p.caller == nil {
		return p.heardAt
	}
	if at := p.caller.LastReceived(); !at.IsZero() {
		// The monotonic clock omits suspensions, so this may look too recent, which only
		// delays a takeover.
		return max(p.heardAt, m.now()-time.Since(at))
	}
	return p.heardAt
}
