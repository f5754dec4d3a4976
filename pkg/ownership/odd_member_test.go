package ownership

import (
	"bytes"
	"context"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// countingEntry is a [Local] that counts malformed rows.
type countingEntry struct {
	fixedEntry
	malformed *int
}

func (e countingEntry) RowMalformed(string) { *e.malformed++ }

// TestOddMember guards against a row of an entry that costs other entries, and against one that is logged again and
// again.
func TestOddMember(t *testing.T) {
	for name, odd := range map[string]Member{
		"name of another": {Name: "e1", Address: "127.0.0.1:7", CPUs: 1},
		"no name":         {Address: "127.0.0.1:7", CPUs: 1},
		"large port":      {Name: "odd", Address: "127.0.0.1:99999", CPUs: 1},
		"no port":         {Name: "odd", Address: "127.0.0.1", CPUs: 1},
		"no number":       {Name: "odd", Address: "127.0.0.1:7", CPUs: math.NaN()},
		"endless":         {Name: "odd", Address: "127.0.0.1:7", CPUs: math.Inf(1)},
		"negative":        {Name: "odd", Address: "127.0.0.1:7", CPUs: -1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var log bytes.Buffer
			malformed := 0
			m := NewMembers(Member{Name: "e0"}, nil, zerolog.New(&log), elapsed.New(), countingEntry{malformed: &malformed})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			apply := func(key string, row Member, version int64) {
				raw, err := msgpack.Marshal(&row)
				c.Assert(err, qt.IsNil)
				m.Apply(ctx, platform.Row{RowKey: platform.RowKey{Key: key}, Value: raw, Version: version})
			}
			known := func() []string {
				m.mu.Lock()
				defer m.mu.Unlock()
				return slices.Sorted(maps.Keys(m.peers))
			}
			apply("e1", Member{Name: "e1", Address: "127.0.0.1:7", CPUs: 1}, 1)
			for range 2 {
				apply("odd", odd, 2)
			}
			c.Check(known(), qt.DeepEquals, []string{"e1"})
			c.Check(malformed, qt.Equals, 1)
			c.Check(strings.Count(log.String(), "member_row_malformed"), qt.Equals, 1)
			apply("odd", odd, 3)
			c.Check(malformed, qt.Equals, 2)
			m.Apply(ctx, platform.Row{RowKey: platform.RowKey{Key: "odd"}, Removed: true, Version: 4})
			c.Check(known(), qt.DeepEquals, []string{"e1"})
			apply("odd", Member{Name: "odd", Address: "127.0.0.1:9", CPUs: 0.5}, 5)
			c.Check(known(), qt.DeepEquals, []string{"e1", "odd"})
		})
	}
}

// TestOddOwnerCounted checks that a malformed row of an owner is counted, and that the next one is taken.
func TestOddOwnerCounted(t *testing.T) {
	c := qt.New(t)
	malformed := 0
	m := NewMembers(Member{Name: "e0"}, nil, zerolog.Nop(), elapsed.New(), countingEntry{malformed: &malformed})
	mgr := NewManager(shard.Identity{Entry: "e0", Start: 1}, m, nil, zerolog.Nop(), elapsed.New())
	mgr.ApplyOwner("p", platform.Row{Version: 1, Value: []byte{0xc1}})
	c.Check(malformed, qt.Equals, 1)
	raw, err := shard.EncodeOwner(shard.OwnerRow{Entry: "e1", Term: 2})
	c.Assert(err, qt.IsNil)
	mgr.ApplyOwner("p", platform.Row{Version: 2, Value: raw})
	row, _, _ := mgr.Owner("p")
	c.Check(row.Entry, qt.Equals, "e1")
	c.Check(malformed, qt.Equals, 1)
}
