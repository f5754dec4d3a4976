package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// TableMember holds one row for each entry, under its name.
const TableMember = "member"

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
	// storeSilence is how long an owner may be without the table service, which
	// others reach, before one of them takes over.
	storeSilence = time.Second
)

// Member is an entry as it registers itself.
type Member struct {
	Name    string  `msgpack:"n"`
	Address string  `msgpack:"a"` // of its peer listener
	Zone    string  `msgpack:"z"`
	Start   int64   `msgpack:"s"` // tells incarnations apart
	Share   float64 `msgpack:"c"` // of a processor
}

// known is what is known of another entry.
type known struct {
	Member
	caller *peer.Caller
	cancel context.CancelFunc

	heardAt   time.Duration // last answer, 0 for never
	addedAt   time.Duration
	refused   bool          // nothing listened at its address at the last try
	stopping  bool          // it is in a planned stop and takes nothing over
	storeLost time.Duration // since when the table service does not answer it, 0 while it does
	owns      bool          // it owns a shard
	sentAt    time.Duration // when the last ping that was answered was sent
	seen      int64         // highest version of an owner row that it had seen, -1 while it claims a shard
}

// Members are the other entries.
type Members struct {
	self  Member
	rows  platform.Rows
	log   zerolog.Logger
	since time.Time
	local Local

	mu    sync.Mutex
	peers map[string]*known // by name
	// majorityAt is since when most entries are heard, 0 while they are not.
	majorityAt time.Duration
}

// Local is what the pings need of this entry.
type Local interface {
	// CatalogVersion is the version of the configuration in force here, 0 for none.
	CatalogVersion() int64
	// OwnersVersion is the highest version of an owner row seen here.
	OwnersVersion() int64
	// ReachesStore tells whether the table service answers this entry.
	ReachesStore() bool
	// StoreAnsweredFor is for how long it has done so, 0 while it does not.
	StoreAnsweredFor() time.Duration
	// EntryChanged is told that an entry was lost or regained.
	EntryChanged()
	// CatalogNewer is told that a peer has a newer configuration.
	CatalogNewer(c *peer.Caller, version int64)
	// OwnerNews is told of an owner row that a peer has seen.
	OwnerNews(pool string, r platform.Row)
}

// NewMembers returns the other entries, none at first.
func NewMembers(self Member, rows platform.Rows, log zerolog.Logger, since time.Time, local Local) *Members {
	return &Members{self: self, rows: rows, log: log, since: since, local: local, peers: map[string]*known{}}
}

// Register writes this entry's row.
func (m *Members) Register(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "register entry") }()
	raw, err := msgpack.Marshal(m.self)
	if err != nil {
		return err
	}
	_, err = m.rows.CommitRows(ctx, platform.RowTxn{Put: []platform.Row{{
		RowKey: platform.RowKey{Table: TableMember, Key: m.self.Name}, Value: raw,
	}}})
	return err
}

// Apply takes a row of the member table.
func (m *Members) Apply(ctx context.Context, r platform.Row) {
	if r.Key == m.self.Name {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.peers[r.Key]
	if r.Removed {
		m.forget(old)
		return
	}
	var row Member
	if err := msgpack.Unmarshal(r.Value, &row); err != nil {
		m.log.Error().Str("event", "member_row_malformed").Str("entry", r.Key).Err(err).Send()
		return
	}
	if old != nil && old.Member == row {
		return
	}
	m.forget(old)
	pingCtx, cancel := context.WithCancel(ctx)
	k := &known{Member: row, caller: peer.NewCaller(row.Address), cancel: cancel, addedAt: m.now()}
	m.peers[r.Key] = k
	m.log.Info().Str("event", "entry_listed").Str("entry", row.Name).Str("zone", row.Zone).Int64("start", row.Start).Send()
	go m.pingLoop(pingCtx, k)
	go m.local.EntryChanged()
}

func (m *Members) forget(k *known) {
	if k == nil {
		return
	}
	k.cancel()
	k.caller.Close()
	delete(m.peers, k.Name)
}

func (m *Members) now() time.Duration { return time.Since(m.since) }

func (m *Members) pingLoop(ctx context.Context, k *known) {
	for ctx.Err() == nil {
		m.ping(ctx, k)
		select {
		case <-ctx.Done():
		case <-time.After(m.interval(k)):
		}
	}
}

func (m *Members) interval(k *known) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k.owns {
		return pingInterval
	}
	return max(pingInterval, time.Duration(len(m.peers))*pingSpacing)
}

func (m *Members) ping(ctx context.Context, k *known) {
	version := m.local.CatalogVersion()
	sentAt := m.now()
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	reply, err := k.caller.Call(pingCtx, &schema.Call{Kind: schema.CallKindPing, CatalogVersion: int(version), OwnersVersion: int(m.local.OwnersVersion())})
	cancel()
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	before := m.alive(k)
	if err == nil {
		k.heardAt, k.refused = m.now(), false
		k.noteStore(reply.ReachesStore, m.now())
		k.stopping = reply.Stopping
		k.sentAt, k.seen = sentAt, int64(reply.OwnersVersion)
		if reply.Claiming {
			k.seen = -1
		}
	} else {
		var notSent peer.ErrNotSent
		k.refused = errors.As(err, &notSent) && notSent.Refused
		var lost peer.ErrLinkLost
		if errors.As(err, &lost) && pingCtx.Err() != nil {
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

// SetOwners tells which entries own a shard and are to be pinged often.
func (m *Members) SetOwners(names map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, k := range m.peers {
		k.owns = names[name]
	}
}

// Caller returns the link to an entry at an address, nil if it is not known or
// silent: a caller's request is not held while a dead link is dialled.
func (m *Members) Caller(name, address string) *peer.Caller {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.peers[name]
	if k == nil || k.Address != address || k.heardAt > 0 && !m.alive(k) {
		return nil
	}
	return k.caller
}

// Heirs returns the entries that may take a shard over, this one among them:
// they were heard of late, reach the table service and are not stopping.
func (m *Members) Heirs() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []Member{m.self}
	for _, k := range m.peers {
		if m.alive(k) && !k.stopping && k.storeLost == 0 {
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

// storeAnswersMost tells whether the table service answers this entry and most
// others but k, so that it is k's path to it that is broken; the lock is held.
func (m *Members) storeAnswersMost(k *known) bool {
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
	case m.now()-since < silence:
		return VerdictAlive, "its row is new"
	case m.alive(k) && k.storeLost > 0 && m.now()-k.storeLost > storeSilence && m.storeAnswersMost(k):
		return VerdictGone, "the table service does not answer it, but us"
	case m.alive(k):
		return VerdictAlive, ""
	case k.heardAt == 0 && m.now()-k.addedAt < silence && !k.refused:
		return VerdictAlive, "not asked yet"
	}
	m.noteMajority()
	if m.majorityAt > 0 && m.now()-m.majorityAt >= silence {
		return VerdictGone, "not heard while most others are"
	}
	return VerdictSuspect, "few others are heard either"
}
