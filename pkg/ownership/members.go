package ownership

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/packed"
	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TableMember is the table with one row per registered entry, keyed by its name.
const TableMember = "member"

// Member is an entry's own registration, as stored in [TableMember].
type Member struct {
	Name    string  `msgpack:"n"`
	Address string  `msgpack:"a"` // of its peer listener, host:port
	Zone    string  `msgpack:"z"`
	Start   int64   `msgpack:"s"` // start time in Unix ns; tells restarts apart
	CPUs    float64 `msgpack:"c"` // processors it may use, possibly a fraction
}

// memberState is what this entry knows of a peer, another registered entry.
type memberState struct {
	Member
	caller *peer.Caller
	cancel context.CancelFunc // stops the pings
	owns   bool               // it owns at least one shard
	wake   chan struct{}      // triggers the next ping

	addedAt             time.Duration // when its row was seen
	heardAt             time.Duration // last answer, 0 for never
	refused             bool          // the last connection attempt was refused
	consecutiveRefusals int           // refused connection attempts in a row
	refusedSince        time.Duration // when the first of these was made
	pingTimedOut        bool          // the last ping timed out

	failedAt time.Duration // last failed ping, 0 for never

	// Reported in its last answer.
	answeredPingAt time.Duration // when that ping was sent
	ownersVersion  int64         // highest version of an owner row it has seen, -1 while it has a takeover in doubt
	stopping       bool          // in a planned stop, so not a candidate
	released       bool          // all its owners have ended in that stop
	processStart   int64         // start time of the process that answered, 0 if unknown
	storeLostSince time.Duration // when it was first seen without the table service, 0 if it reaches it
}

// Members tracks the other registered entries and whether they are alive.
type Members struct {
	self  Member
	rows  platform.Rows
	log   zerolog.Logger
	clock *elapsed.Clock
	local Local

	mu    sync.Mutex
	peers map[string]*memberState // by name
	// malformed holds the version of each row that cannot be used, by name.
	malformed map[string]int64
	owns      bool // this entry owns a shard
	// registeredAt is when this entry's own row was written, 0 if it was not.
	registeredAt time.Duration
	// majoritySince is since when most entries are alive, 0 if they are not.
	majoritySince time.Duration
}

// Local is what [Members] needs of its own entry.
type Local interface {
	// CatalogVersion returns the version of the configuration in force, 0 for none.
	CatalogVersion() int64
	// OwnersVersion returns the highest version of an owner row seen.
	OwnersVersion() int64
	// ReachesStore reports whether the table service answers.
	ReachesStore() bool
	// StoreUptime returns for how long the table service has answered without a failure, 0 if it
	// does not answer.
	StoreUptime() time.Duration
	// EntryChanged is called when an entry may have become reachable or unreachable.
	EntryChanged()
	// CatalogNewer is called when a peer reports a newer configuration.
	CatalogNewer(c *peer.Caller, version int64)
	// OwnerRowReported is called with an owner row that a peer reports.
	OwnerRowReported(pool string, r platform.Row)
	// RowMalformed counts a row that cannot be used.
	RowMalformed(table string)
}

// NewMembers returns the tracker of the entry self; it knows no other entries yet.
func NewMembers(self Member, rows platform.Rows, log zerolog.Logger, clock *elapsed.Clock, local Local) *Members {
	return &Members{self: self, rows: rows, log: log, clock: clock, local: local, peers: map[string]*memberState{}, malformed: map[string]int64{}}
}

// Register writes this entry's own row.
func (m *Members) Register(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "register entry") }()
	raw, err := msgpack.Marshal(m.self)
	if err != nil {
		return err
	}
	_, err = m.rows.CommitRows(ctx, platform.RowTxn{Put: []platform.Row{{
		RowKey: platform.RowKey{Table: TableMember, Key: m.self.Name}, Value: raw,
	}}})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registeredAt = m.now()
	return nil
}

// sinceRegistration returns how long ago this entry registered, or started if it has not.
func (m *Members) sinceRegistration() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now() - m.registeredAt
}

// Zones returns the availability zones that have an entry.
func (m *Members) Zones() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := []string{m.self.Zone}
	for _, p := range m.peers {
		if !slices.Contains(zones, p.Zone) {
			zones = append(zones, p.Zone)
		}
	}
	return zones
}

// Apply processes a row of [TableMember] and starts to ping a new or restarted entry until ctx
// ends.
func (m *Members) Apply(ctx context.Context, r platform.Row) {
	if r.Key == m.self.Name {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.peers[r.Key]
	if r.Removed {
		m.forget(old)
		delete(m.malformed, r.Key)
		return
	}
	row, err := decodeMember(r)
	if err != nil {
		m.recordMalformed(r, err)
		return
	}
	delete(m.malformed, r.Key)
	if old != nil && old.Member == row {
		return
	}
	m.forget(old)
	pingCtx, cancel := context.WithCancel(ctx)
	p := &memberState{Member: row, caller: peer.NewCaller(row.Address), cancel: cancel, wake: make(chan struct{}, 1), addedAt: m.now()}
	m.peers[r.Key] = p
	m.log.Info().Str("event", "entry_listed").Str("entry", row.Name).Str("zone", row.Zone).Int64("start", row.Start).Send()
	go m.pingLoop(pingCtx, p)
	go m.local.EntryChanged()
}

// recordMalformed counts and logs a row that cannot be used, once per version. The caller holds mu.
func (m *Members) recordMalformed(r platform.Row, err error) {
	if m.malformed[r.Key] == r.Version {
		return
	}
	m.malformed[r.Key] = r.Version
	m.local.RowMalformed(TableMember)
	m.log.Error().Str("event", "member_row_malformed").Str("entry", r.Key).Int64("version", r.Version).Err(err).Send()
}

// maxCPUs bounds the processors that a row may say an entry has.
const maxCPUs = 10_000

// decodeMember decodes a row of [TableMember]; it returns an error for one that does not describe the entry of its key.
func decodeMember(r platform.Row) (row Member, err error) {
	defer func() { err = errors.Wrapf(err, "decode entry %s", r.Key) }()
	if err := packed.Unmarshal(r.Value, &row); err != nil {
		return row, err
	}
	host, port, err := net.SplitHostPort(row.Address)
	if err != nil {
		return row, err
	}
	n, err := strconv.ParseUint(port, 10, 16)
	switch {
	case err != nil || n == 0 || host == "":
		return row, errors.Errorf("the address %s can't be called", row.Address)
	case row.Name != r.Key:
		return row, errors.Errorf("the row is of %s", row.Name)
	case !(row.CPUs >= 0 && row.CPUs <= maxCPUs): // also not a number
		return row, errors.Errorf("%g processors are not possible", row.CPUs)
	}
	return row, nil
}

// forget stops tracking an entry; nil is ignored. The caller holds mu.
func (m *Members) forget(p *memberState) {
	if p == nil {
		return
	}
	p.cancel()
	p.caller.Close()
	delete(m.peers, p.Name)
}

func (m *Members) now() time.Duration { return m.clock.Now() }

// SetOwners sets the names of all entries that own a shard; those are pinged more often.
func (m *Members) SetOwners(names map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owns = names[m.self.Name]
	for name, p := range m.peers {
		if names[name] && !p.owns {
			p.pingNow() // its last answer may be older than ownerTimeout
		}
		p.owns = names[name]
	}
}

// pingNow triggers a ping at once.
func (p *memberState) pingNow() { pause.Wake(p.wake) }

// Caller returns the connection for calls to an entry, nil if the entry is unknown, at another
// address, or silent, so that requests don't wait for a dead connection.
func (m *Members) Caller(name, address string) *peer.Caller {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	if p == nil || p.Address != address || p.heardAt > 0 && !m.alive(p) {
		return nil
	}
	return p.caller
}
