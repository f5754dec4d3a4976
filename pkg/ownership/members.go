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

	heardAt time.Duration // last answer, 0 for never
	addedAt time.Duration
	refused bool // nothing listened at its address at the last try
	store   bool // the table service answers it
	owns    bool // it owns a shard
	catalog int64
}

// Members are the other entries.
type Members struct {
	self    Member
	rows    platform.Rows
	log     zerolog.Logger
	since   time.Time
	changed func()                              // called when an entry is lost or regained
	newer   func(c *peer.Caller, version int64) // called when a peer has a newer configuration
	version func() int64                        // of the own configuration

	mu    sync.Mutex
	peers map[string]*known // by name
}

// NewMembers returns the other entries, none at first.
func NewMembers(self Member, rows platform.Rows, log zerolog.Logger, since time.Time, changed func(), version func() int64, newer func(*peer.Caller, int64)) *Members {
	return &Members{self: self, rows: rows, log: log, since: since, changed: changed, version: version, newer: newer, peers: map[string]*known{}}
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
	go m.changed()
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
	version := m.version()
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	reply, err := k.caller.Call(pingCtx, &schema.Call{Kind: schema.CallKindPing, CatalogVersion: int(version)})
	cancel()
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	before := m.alive(k)
	if err == nil {
		k.heardAt, k.refused = m.now(), false
		k.store, k.catalog = reply.ReachesStore, int64(reply.CatalogVersion)
	} else {
		var notSent peer.ErrNotSent
		k.refused = errors.As(err, &notSent) && notSent.Refused
		var lost peer.ErrLinkLost
		if errors.As(err, &lost) && pingCtx.Err() != nil {
			k.caller.Close() // a silent link is not waited for
		}
	}
	after := m.alive(k)
	m.mu.Unlock()
	if before != after {
		m.log.Info().Str("event", "entry_seen").Str("entry", k.Name).Bool("alive", after).Err(err).Send()
	}
	if before != after || k.refused {
		m.changed()
	}
	if err == nil && int64(reply.CatalogVersion) > version {
		m.newer(k.caller, int64(reply.CatalogVersion))
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

// Caller returns the link to an entry at an address, nil if it is not known.
func (m *Members) Caller(name, address string) *peer.Caller {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.peers[name]; k != nil && k.Address == address {
		return k.caller
	}
	return nil
}

// Alive returns the entries that were heard of late, this one among them.
func (m *Members) Alive() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []Member{m.self}
	for _, k := range m.peers {
		if m.alive(k) {
			all = append(all, k.Member)
		}
	}
	return all
}

// Verdict is what this entry holds of an owner.
type Verdict string

// The verdicts on an owner.
const (
	VerdictAlive   Verdict = "alive"
	VerdictGone    Verdict = "gone"    // for certain, or most others are heard and it is not
	VerdictSuspect Verdict = "suspect" // not heard, but few others are either
)

// Judge tells whether the owner in a row still lives.
func (m *Members) Judge(o shard.OwnerRow) (v Verdict, why string) {
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
	case m.alive(k):
		return VerdictAlive, ""
	case k.heardAt == 0 && m.now()-k.addedAt < silence && !k.refused:
		return VerdictAlive, "not asked yet"
	}
	heard := 0
	for _, p := range m.peers {
		if p != k && m.alive(p) {
			heard++
		}
	}
	if others := len(m.peers) - 1; 2*heard >= others {
		return VerdictGone, "not heard while most others are"
	}
	return VerdictSuspect, "few others are heard either"
}
