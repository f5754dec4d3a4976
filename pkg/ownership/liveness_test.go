package ownership

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// fixedEntry is a [Local] with a fixed state.
type fixedEntry struct {
	reachesStore bool
	storeFor     time.Duration
}

func (fixedEntry) CatalogVersion() int64                        { return 0 }
func (fixedEntry) OwnersVersion() int64                         { return 0 }
func (e fixedEntry) ReachesStore() bool                         { return e.reachesStore }
func (e fixedEntry) StoreUptime() time.Duration                 { return e.storeFor }
func (fixedEntry) EntryChanged()                                {}
func (fixedEntry) CatalogNewer(*peer.Caller, int64)             {}
func (fixedEntry) OwnerRowReported(pool string, r platform.Row) {}
func (fixedEntry) RowMalformed(table string)                    {}

// TestOwnerStatus runs testdata/owner_status: given what was heard of the other entries, the status
// of an owner and whether its shard is claimed.
func TestOwnerStatus(t *testing.T) {
	datadriven.RunTest(t, "testdata/owner_status", func(t *testing.T, d *datadriven.TestData) string {
		local := fixedEntry{reachesStore: true, storeFor: time.Hour}
		args := map[string]string{}
		for _, a := range d.CmdArgs {
			args[a.Key] = strings.Join(a.Vals, ",")
		}
		if v, ok := args["store"]; ok {
			local.storeFor, _ = time.ParseDuration(v)
			local.reachesStore = local.storeFor > 0
		}
		since := time.Now().Add(-time.Minute)
		m := NewMembers(Member{Name: "me", Start: 1}, nil, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(since)), local)
		for _, line := range strings.Split(d.Input, "\n") {
			addPeer(m, strings.Fields(line))
		}
		row := shard.OwnerRow{Entry: args["owner"], Start: 1, Address: args["owner"]}
		m.majoritySince = m.now() - 10*time.Second
		if v, ok := args["majority"]; ok {
			age, _ := time.ParseDuration(v)
			m.majoritySince = m.now() - age
		}
		rowAge, _ := time.ParseDuration(args["row"])
		if d.Cmd == "caller" {
			return fmt.Sprintf("%v\n", m.Caller(row.Entry, row.Address) != nil)
		}
		suspected, _ := time.ParseDuration(args["suspected"])
		mgr := NewManager(shard.Identity{Entry: "me", Start: 1}, m, nil, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(since)))
		s := &shardState{row: row, loaded: true, rowSeenAt: m.now() - rowAge}
		if suspected > 0 {
			s.suspectSince = m.now() - suspected
		}
		status, why := m.OwnerStatus(row, s.rowSeenAt)
		_, gone := mgr.ownerGone(s, m.now())
		return fmt.Sprintf("%s: %s; take over %v\n", status, why, gone)
	})
}

// TestCandidatesBesideLostPart guards against small entries that take a shard over because larger ones
// have just called a part of the table service that does not answer.
func TestCandidatesBesideLostPart(t *testing.T) {
	c := qt.New(t)
	local := &fixedEntry{reachesStore: true, storeFor: time.Hour}
	m := NewMembers(Member{Name: "me", Start: 1}, nil, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(time.Now().Add(-time.Minute))), local)
	addPeer(m, []string{"flickers", "heard=100ms", "nostore=500ms"})
	addPeer(m, []string{"cut-off", "heard=100ms", "nostore=1500ms"})
	names := func() (names []string) {
		for _, m := range m.Candidates() {
			names = append(names, m.Name)
		}
		slices.Sort(names)
		return names
	}
	c.Check(names(), qt.DeepEquals, []string{"flickers", "me"})
	local.storeFor = time.Second // it has just recovered for all
	c.Check(names(), qt.DeepEquals, []string{"cut-off", "flickers", "me"})
}

// addPeer adds a member from "NAME heard=AGE [refused] [refusals=N] [nostore=AGE] [start=N]
// [answers=N] [released]"; answers is the start time in its last answer.
func addPeer(m *Members, words []string) {
	p := &memberState{Member: Member{Name: words[0], Address: words[0], Start: 1}, caller: peer.NewCaller(words[0]), cancel: func() {}}
	for _, w := range words[1:] {
		key, value, _ := strings.Cut(w, "=")
		age, _ := time.ParseDuration(value)
		switch key {
		case "heard":
			p.heardAt = m.now() - age
		case "refused":
			p.refused = true
		case "nostore":
			p.storeLostSince = m.now() - age
		case "start":
			n, _ := strconv.Atoi(value)
			p.Start = int64(n)
		case "answers":
			n, _ := strconv.Atoi(value)
			p.processStart = int64(n)
		case "released":
			p.stopping, p.released = true, true
		case "refusals":
			n, _ := strconv.Atoi(value)
			p.refused, p.consecutiveRefusals = n > 0, n
		}
	}
	p.owns = true
	m.peers[p.Name] = p
}
