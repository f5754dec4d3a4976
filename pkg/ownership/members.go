package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TableMember holds one row for each entry, under its name.
const TableMember = "member"

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
	cancel context.CancelFunc // ends the pings
	owns   bool               // it owns a shard
	wake   chan struct{}      // ends the pause before the next ping

	addedAt time.Duration // when its row was seen
	heardAt time.Duration // last answer, 0 for never
	refused bool          // nothing listened at its address at the last try
	// refusals counts the tries in a row of which that is true.
	refusals int
	lost     bool // it left the last ping unanswered

	missedAt time.Duration // when a ping last failed, 0 for never

	// As it said in its last answer.
	sentAt    time.Duration // when the ping was sent that it answered
	seen      int64         // highest version of an owner row that it had seen, -1 while it claims a shard
	stopping  bool          // it is in a planned stop and takes nothing over
	storeLost time.Duration // since when the table service does not answer it, 0 while it does
}

// Members are the other entries.
type Members struct {
	self  Member
	rows  platform.Rows
	log   zerolog.Logger
	clock *elapsed.Clock
	local Local

	mu    sync.Mutex
	peers map[string]*known // by name
	owns  bool              // this entry owns a shard
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
func NewMembers(self Member, rows platform.Rows, log zerolog.Logger, clock *elapsed.Clock, local Local) *Members {
	return &Members{self: self, rows: rows, log: log, clock: clock, local: local, peers: map[string]*known{}}
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

// Zones returns the availability zones that have entries, each once.
func (m *Members) Zones() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := []string{m.self.Zone}
	for _, k := range m.peers {
		if !slices.Contains(zones, k.Zone) {
			zones = append(zones, k.Zone)
		}
	}
	return zones
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
	k := &known{Member: row, caller: peer.NewCaller(row.Address), cancel: cancel, wake: make(chan struct{}, 1), addedAt: m.now()}
	m.peers[r.Key] = k
	m.log.Info().Str("event", "entry_listed").Str("entry", row.Name).Str("zone", row.Zone).Int64("start", row.Start).Send()
	go m.pingLoop(pingCtx, k)
	go m.local.EntryChanged()
}

// forget drops an entry, if there is one; the lock is held.
func (m *Members) forget(k *known) {
	if k == nil {
		return
	}
	k.cancel()
	k.caller.Close()
	delete(m.peers, k.Name)
}

func (m *Members) now() time.Duration { return m.clock.Now() }

// SetOwners tells which entries, this one among them, own a shard; those are pinged often.
func (m *Members) SetOwners(names map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owns = names[m.self.Name]
	for name, k := range m.peers {
		if names[name] && !k.owns {
			k.hurry() // its last answer may be older than an owner's may be
		}
		k.owns = names[name]
	}
}

// hurry has the entry pinged at once.
func (k *known) hurry() { pause.Wake(k.wake) }

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
