package ownership

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/shard"
)

// storeSilence is how long an owner may be without the table service, which
// others reach, before one of them takes over.
const storeSilence = time.Second

// newOwnerSilence is how long an owner that has just written its row may go unheard:
// what it reads and asks in a takeover may fill its link for seconds. After 1.1 s ten
// entries in turn claimed a shard whose owner was still taking it over, on links of 2
// Mbit/s, and its tasks did not run for 10 s. One that has ended refuses connections,
// and counts as gone at once.
const newOwnerSilence = 2500 * time.Millisecond

// heirsSettle is how long after the table service has come back to this entry
// the others may not have told so; those without a shard are asked each 2.6 s
// where there are 43.
const heirsSettle = 3 * time.Second

// Verdict is what this entry holds of an owner.
type Verdict string

// The verdicts on an owner.
const (
	VerdictAlive   Verdict = "alive"
	VerdictGone    Verdict = "gone"    // for certain, or most others are heard and it is not
	VerdictSuspect Verdict = "suspect" // not heard, but few others are either
)

// Judge tells whether the owner in a row, which was seen first at since, still
// lives. An owner that has just written its row does, whatever was heard before.
func (m *Members) Judge(o shard.OwnerRow, since time.Duration) (v Verdict, why string) {
	if o.Entry == "" {
		return VerdictGone, "released"
	}
	if o.Entry == m.self.Name {
		return VerdictGone, "an earlier start of this entry"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.peers[o.Entry]
	switch {
	case k == nil:
		return VerdictSuspect, "not listed"
	case k.Start != o.Start:
		return VerdictGone, "started anew"
	case m.now()-since < newOwnerSilence && !k.refused:
		return VerdictAlive, "its row is new"
	case m.alive(k) && k.storeLost > 0 && m.now()-k.storeLost > storeSilence && m.storeAnswersMost(k):
		return VerdictGone, "the table service does not answer it, but us"
	case m.alive(k):
		return VerdictAlive, ""
	case k.heardAt == 0 && m.now()-k.addedAt < silence && !k.refused:
		return VerdictAlive, "not asked yet"
	}
	m.noteMajority()
	if m.majorityAt > 0 && m.now()-m.majorityAt >= silence && m.othersAnswered(k) {
		return VerdictGone, "not heard while most others are"
	}
	return VerdictSuspect, "few others are heard either"
}

// HasEnded tells whether the process of the owner in a row is known to have ended: it has let go,
// its entry was started anew, or nothing has listened at its address at two tries in a row. An
// address that refuses once may be full, or its machine on the way to be cut off.
func (m *Members) HasEnded(o shard.OwnerRow) bool {
	if o.Entry == "" || o.Entry == m.self.Name {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.peers[o.Entry]
	return k != nil && (k.Start != o.Start || k.refusals >= certainlyRefused)
}

// noteMajority notes since when most entries are heard; the lock is held. This
// entry counts for itself; of two halves that do not hear each other neither has
// a majority. After a cut the others are heard again one by one: until that is
// over, one that is not heard yet is not the one that is missing.
func (m *Members) noteMajority() {
	heard := 1
	for _, k := range m.peers {
		if m.alive(k) {
			heard++
		}
	}
	switch {
	case 2*heard <= len(m.peers)+1:
		m.majorityAt = 0
	case m.majorityAt == 0:
		m.majorityAt = m.now()
	}
}

// othersAnswered tells whether, of the others that were asked since an entry was
// last heard, most have answered; the lock is held. Most entries are asked rarely: what one of them
// said ten seconds ago does not show that this entry is not the one that is cut off.
func (m *Members) othersAnswered(than *known) bool {
	answered, missed := 0, 0
	for _, p := range m.peers {
		switch {
		case p == than:
		case p.heardAt > than.heardAt:
			answered++
		case p.missedAt > than.heardAt:
			missed++
		}
	}
	return answered > missed && 2*answered >= min(checkedPeers, len(m.peers)-1)
}

// HearMost tells whether most entries, this one among them, are heard.
func (m *Members) HearMost() bool { return m.heardMostFor(0) }

// storeAnswersMost tells whether the table service answers this entry and most
// others but k, so that it is k's path to it that is broken; the lock is held. When
// the service comes back for all, entries notice at different times: it must have
// answered this one for a while.
func (m *Members) storeAnswersMost(k *known) bool {
	if m.local.StoreAnsweredFor() < storeSteady {
		return false
	}
	reached, heard := 0, 0
	for _, p := range m.peers {
		if p == k || !m.alive(p) {
			continue
		}
		heard++
		if p.storeLost == 0 {
			reached++
		}
	}
	return m.local.ReachesStore() && 2*reached > heard
}

// Heirs returns the entries that may take a shard over, this one among them:
// they were heard of late, reach the table service and are not stopping. When the
// service has just come back, the others have not said yet that it answers them:
// left out, each entry would be its own first heir, and all would claim at once.
func (m *Members) Heirs() []Member {
	justBack := m.local.StoreAnsweredFor() < heirsSettle
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []Member{m.self}
	for _, k := range m.peers {
		if m.alive(k) && !k.stopping && (k.storeLost == 0 || justBack) {
			all = append(all, k.Member)
		}
	}
	return all
}

// ConfirmedAt is a time at which certainly no entry had an owner row newer than
// the version, since each has said so in answer to a later ping; false if any has not.
func (m *Members) ConfirmedAt(version int64) (at time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at = m.now()
	for _, k := range m.peers {
		if k.seen < 0 || k.seen > version || k.heardAt == 0 {
			return 0, false
		}
		at = min(at, k.sentAt)
	}
	return at, true
}
