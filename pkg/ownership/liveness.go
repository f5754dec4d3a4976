package ownership

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/shard"
)

// storeLossTimeout is how long an owner may be without the table service, while others reach it,
// before its shard is taken over.
const storeLossTimeout = time.Second

// newOwnerGracePeriod is how long an owner that has just written its row counts as alive without
// answering: the reads of a takeover may saturate its link. An owner that has exited refuses
// connections and is detected at once.
const newOwnerGracePeriod = 2500 * time.Millisecond

// storeRecoveryTime is how long after the table service has recovered other entries may still be
// recorded as not reaching it, since idle entries are pinged rarely.
const storeRecoveryTime = 3 * time.Second

// OwnerStatus is this entry's view of whether an owner is alive.
type OwnerStatus string

// The states of an owner.
const (
	OwnerAlive   OwnerStatus = "alive"
	OwnerGone    OwnerStatus = "gone"    // known to have ended, or silent while most others answer
	OwnerSuspect OwnerStatus = "suspect" // silent, and so are many others
)

// OwnerStatus returns the state of the owner named in a row first seen at since, and the reason.
// The owner must not run in this process: a row that names this entry is left from an ended owner.
func (m *Members) OwnerStatus(o shard.OwnerRow, since time.Duration) (v OwnerStatus, why string) {
	if o.Entry == "" {
		return OwnerGone, "released"
	}
	if o.Entry == m.self.Name {
		return OwnerGone, "this entry no longer runs the owner"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[o.Entry]
	switch {
	case p == nil:
		return OwnerSuspect, "not listed"
	case p.hasRestarted(o):
		return OwnerGone, "restarted"
	case p.released:
		return OwnerGone, "ended in a planned stop"
	case m.now()-since < newOwnerGracePeriod && !p.refused:
		return OwnerAlive, "its owner row is new"
	case m.alive(p) && p.storeLostSince > 0 && m.now()-p.storeLostSince > storeLossTimeout && m.mostOthersReachStore(p):
		return OwnerGone, "the table service answers this entry but not the owner"
	case m.alive(p):
		return OwnerAlive, ""
	case p.heardAt == 0 && m.now()-p.addedAt < ownerTimeout && !p.refused:
		return OwnerAlive, "not pinged yet"
	}
	m.updateMajority()
	if m.majoritySince > 0 && m.now()-m.majoritySince >= ownerTimeout && m.mostOthersAnswered(p) {
		return OwnerGone, "silent while most others answer"
	}
	return OwnerSuspect, "silent, as are many others"
}

// heardAgo returns the time since an entry last answered, 0 if it is unknown or never did.
func (m *Members) heardAgo(name string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	if p == nil || p.heardAt == 0 {
		return 0
	}
	return m.now() - p.heardAt
}

// HasEnded reports whether the owner in a row is known to have ended: the row names no owner or
// this entry, its entry has restarted or has ended its owners in a planned stop, or it refuses
// connections.
func (m *Members) HasEnded(o shard.OwnerRow) bool {
	if o.Entry == "" || o.Entry == m.self.Name {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[o.Entry]
	return p != nil && (p.hasRestarted(o) || p.released || m.refusesConnections(p))
}

// refusesConnections reports whether refusalsUntilEnded consecutive connections to an entry were
// refused while another entry of its zone answered: a zone that is cut off may refuse all connections
// while its processes run. The caller holds mu.
func (m *Members) refusesConnections(p *memberState) bool {
	if p.consecutiveRefusals < refusalsUntilEnded {
		return false
	}
	if m.self.Zone == p.Zone {
		return true // no zone boundary in between
	}
	for _, other := range m.peers {
		if other != p && other.Zone == p.Zone && !other.refused && other.answeredPingAt > p.refusedSince {
			return true
		}
	}
	return false
}

// hasRestarted reports whether the entry's process is another than that of the owner in a row. While
// the table service is away, a new process can't register, but its answers show its start time.
func (p *memberState) hasRestarted(o shard.OwnerRow) bool {
	if p.processStart != 0 {
		return p.processStart != o.Start // the member row may be older than the process
	}
	return p.Start != o.Start
}

// registered reports whether the process that answers is the one that is registered. Another one
// may not have read the configuration yet.
func (p *memberState) registered() bool { return p.processStart == 0 || p.processStart == p.Start }

// updateMajority updates since when most entries, this one included, are alive. The caller holds
// mu. After a partition heals the others are heard again one by one, so a majority has to last
// before silence counts against a single entry.
func (m *Members) updateMajority() {
	heard := 1
	for _, p := range m.peers {
		if m.alive(p) {
			heard++
		}
	}
	switch {
	case 2*heard <= len(m.peers)+1:
		m.majoritySince = 0
	case m.majoritySince == 0:
		m.majoritySince = m.now()
	}
}

// mostOthersAnswered reports whether most entries pinged since silent was last heard have answered.
// Older answers don't count: they don't show that this entry is still connected. The caller holds
// mu.
func (m *Members) mostOthersAnswered(silent *memberState) bool {
	answered, missed := 0, 0
	for _, p := range m.peers {
		switch {
		case p == silent:
		case p.heardAt > silent.heardAt:
			answered++
		case p.failedAt > silent.heardAt:
			missed++
		}
	}
	return answered > missed && 2*answered >= min(peerSampleSize, len(m.peers)-1)
}

// HasMajority reports whether most entries, this one included, are alive.
func (m *Members) HasMajority() bool { return m.hasMajorityFor(0) }

// mostOthersReachStore reports whether the table service answers this entry and most others except
// one, whose own path to it must then be broken. The service must have answered here for a while,
// since entries notice its recovery at different times. The caller holds mu.
func (m *Members) mostOthersReachStore(except *memberState) bool {
	if m.local.StoreUptime() < storeStableTime {
		return false
	}
	reached, heard := 0, 0
	for _, p := range m.peers {
		if p == except || !m.alive(p) {
			continue
		}
		heard++
		if p.storeLostSince == 0 {
			reached++
		}
	}
	return m.local.ReachesStore() && 2*reached > heard
}

// Candidates returns the entries that may take over a shard, this one included: alive, registered,
// not stopping, and reaching the table service. Shortly after the service has recovered its reported
// state is ignored; otherwise each entry would consider itself the only candidate. So is a loss reported
// for less than storeLossTimeout: when one part of the service does not answer, entries that call it
// lose and regain the service all the time.
func (m *Members) Candidates() []Member {
	storeRecovering := m.local.StoreUptime() < storeRecoveryTime
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []Member{m.self}
	for _, p := range m.peers {
		storeLost := p.storeLostSince > 0 && m.now()-p.storeLostSince > storeLossTimeout
		if m.alive(p) && p.registered() && !p.stopping && (!storeLost || storeRecovering) {
			all = append(all, p.Member)
		}
	}
	return all
}

// ConfirmedAt returns the latest time at which no other entry had seen an owner row newer than
// version, or had a takeover in doubt, as their answers to pings show. ok is false if one of them
// had, or has not answered.
func (m *Members) ConfirmedAt(version int64) (at time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at = m.now()
	for _, p := range m.peers {
		if p.ownersVersion < 0 || p.ownersVersion > version || p.heardAt == 0 {
			return 0, false
		}
		at = min(at, p.answeredPingAt)
	}
	return at, true
}
