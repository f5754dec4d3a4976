package ownership

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// here is the entry that judges; it implements Local.
type here struct {
	reaches  bool
	answered time.Duration
}

func (here) CatalogVersion() int64                 { return 0 }
func (here) OwnersVersion() int64                  { return 0 }
func (h here) ReachesStore() bool                  { return h.reaches }
func (h here) StoreAnsweredFor() time.Duration     { return h.answered }
func (here) EntryChanged()                         {}
func (here) CatalogNewer(*peer.Caller, int64)      {}
func (here) OwnerNews(pool string, r platform.Row) {}

// TestJudge plays testdata/judge: what an entry has heard of the others, and what it holds of an owner.
func TestJudge(t *testing.T) {
	datadriven.RunTest(t, "testdata/judge", func(t *testing.T, d *datadriven.TestData) string {
		h := here{reaches: true, answered: time.Hour}
		args := map[string]string{}
		for _, a := range d.CmdArgs {
			args[a.Key] = strings.Join(a.Vals, ",")
		}
		if v, ok := args["store"]; ok {
			h.answered, _ = time.ParseDuration(v)
			h.reaches = h.answered > 0
		}
		since := time.Now().Add(-time.Minute)
		m := NewMembers(Member{Name: "me", Start: 1}, nil, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(since)), h)
		for _, line := range strings.Split(d.Input, "\n") {
			addPeer(m, strings.Fields(line))
		}
		row := shard.OwnerRow{Entry: args["owner"], Start: 1, Address: args["owner"]}
		m.majorityAt = m.now() - 10*time.Second
		if v, ok := args["majority"]; ok {
			age, _ := time.ParseDuration(v)
			m.majorityAt = m.now() - age
		}
		rowAge, _ := time.ParseDuration(args["row"])
		if d.Cmd == "caller" {
			return fmt.Sprintf("%v\n", m.Caller(row.Entry, row.Address) != nil)
		}
		suspected, _ := time.ParseDuration(args["suspected"])
		k := NewKeeper(shard.Identity{Entry: "me", Start: 1}, m, nil, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(since)))
		s := &state{row: row, loaded: true, rowAt: m.now() - rowAge}
		if suspected > 0 {
			s.suspect = m.now() - suspected
		}
		verdict, why := m.Judge(row, s.rowAt)
		_, gone := k.judge(s, m.now())
		return fmt.Sprintf("%s: %s; take over %v\n", verdict, why, gone)
	})
}

// addPeer reads "NAME heard=AGE [refused] [nostore=AGE] [start=N]".
func addPeer(m *Members, words []string) {
	k := &known{Member: Member{Name: words[0], Address: words[0], Start: 1}, caller: peer.NewCaller(words[0]), cancel: func() {}}
	for _, w := range words[1:] {
		key, value, _ := strings.Cut(w, "=")
		age, _ := time.ParseDuration(value)
		switch key {
		case "heard":
			k.heardAt = m.now() - age
		case "refused":
			k.refused = true
		case "nostore":
			k.storeLost = m.now() - age
		case "start":
			n, _ := strconv.Atoi(value)
			k.Start = int64(n)
		}
	}
	k.owns = true
	m.peers[k.Name] = k
}
