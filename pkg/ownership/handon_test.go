package ownership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// TestBetter tells which entry should own a shard instead of one that does.
func TestBetter(t *testing.T) {
	heirs := []Member{{Name: "me", Share: 0.2}, {Name: "small", Share: 0.2}, {Name: "big", Share: 0.8}, {Name: "large", Share: 0.8}}
	for _, tc := range []struct {
		share float64
		load  map[string]int
		to    string
	}{
		{0.2, map[string]int{"me": 1, "large": 1}, "big"},
		{0.2, map[string]int{"me": 1, "big": 1}, "large"},
		{0.2, map[string]int{"me": 1, "large": 2, "big": 2}, ""}, // they have enough
		{0.8, map[string]int{"me": 1}, ""},                       // it is as large
		{0.8, map[string]int{"me": 2, "large": 1}, ""},           // one more is not worth it
		{0.8, map[string]int{"me": 3, "large": 1}, "big"},
	} {
		to, ok := better(Member{Name: "me", Share: tc.share}, "p", heirs, tc.load)
		if !ok {
			to = ""
		}
		qt.Check(t, to, qt.Equals, tc.to, qt.Commentf("%v of %v", tc.load, tc.share))
	}
	_, ok := better(heirs[0], "p", heirs[:1], map[string]int{"me": 1})
	qt.Check(t, ok, qt.IsFalse)
}

// released is work that notes to whom it was handed.
type released struct {
	Work
	to chan string
}

func (w *released) Release(_ context.Context, next string) { w.to <- next }
func (*released) Confirm(time.Duration)                    {}

// TestHandOn has an entry with a fifth of a core own a shard among 96 others, one of
// which has four times as much: it lets go of it in favour of that one. When the row
// turns out to name this entry still, it takes the shard over anew at once, though it
// is the last of the heirs; it waited for its turn, which was 33 s later.
func TestHandOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		since := time.Now()
		time.Sleep(time.Minute)
		m := NewMembers(Member{Name: "me", Share: 0.2}, nil, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(since)), &there{back: since})
		m.majorityAt = 1
		for i := range 96 {
			name := fmt.Sprintf("e%d", i)
			m.peers[name] = peerHeard(name, time.Hour)
			m.peers[name].Share = 0.2
		}
		m.peers["e7"].Share = 0.8
		claims := make(chan struct{}, 10)
		open := func(context.Context, string, shard.ObservedOwner, *catalog.Catalog, Events) (Work, error) {
			claims <- struct{}{}
			return nil, errors.New("another entry was first")
		}
		k := NewKeeper(shard.Identity{Entry: "me", Start: 3}, m, open, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(since)))
		k.catalog = catalog.New(catalog.Catalog{})
		w := &released{to: make(chan string, 1)}
		row := shard.OwnerRow{Entry: "me", Start: 3, Term: 1}
		k.shards["p"] = &state{row: row, version: 5, loaded: true, owner: w}

		k.evaluate(context.Background())
		synctest.Wait()
		c.Assert(<-w.to, qt.Equals, "e7")
		c.Check(k.Unread(), qt.DeepEquals, []string{"p"})

		raw, err := shard.EncodeOwner(row)
		c.Assert(err, qt.IsNil)
		k.ApplyOwner("p", platform.Row{Value: raw, Version: 5})
		time.Sleep(claimPause)
		k.evaluate(context.Background())
		synctest.Wait()
		c.Check(claims, qt.HasLen, 1)
	})
}
