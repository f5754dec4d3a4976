package replica_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// oddValues are values that no entry writes, in a row or in the log.
var oddValues = map[string]string{
	"not JSON":           "\x00",
	"another type":       `[1]`,
	"number beyond 64":   `{"revision":99999999999999999999,"version":99999999999999999999}`,
	"number too large":   `{"revision":1e400,"version":1e400}`,
	"deeply nested":      strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000),
	"value of no zone":   `{"revision":2,"version":2,"value":7,"changes":[{"kind":"zone","name":"a","after":7}]}`,
	"of another version": `{"revision":77,"version":2,"value":{"note":5}}`,
}

// oddItems are items that another writer left beside those of edits 1 to 3, of zones a, b and a.
var oddItems = map[string]string{
	"first entry of the log": "log/0000000000000001",
	"an entry of the log":    "log/0000000000000002",
	"last entry of the log":  "log/0000000000000003",
	"beyond the log":         "log/0000000000000077",
	"no revision":            "log/other",
	"row":                    "row/zone/a",
	"row that is not ours":   "row/zone/other",
	"row of another kind":    "row/other/a",
	"row without a name":     "row/zone",
}

func setItem(c *qt.C, store platform.Table, key, value string) {
	item, err := store.Get(context.Background(), key)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Commit(context.Background(), platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: item.Version}}, Writes: []platform.Write{{Key: key, Value: []byte(value)}},
	}), qt.IsNil)
}

func commitZone(c *qt.C, r *replica.Replica, id, zone string) {
	key := table.Key{Kind: schema.KindZone, Name: zone}
	_, err := r.Commit(context.Background(), &table.Edit{ID: id, Actor: "a", Changes: []table.Change{
		{Key: key, Seen: r.Snapshot().Version(key), Value: table.MustValue(schema.Zone{Note: id})},
	}})
	c.Assert(err, qt.IsNil)
}

func tableOf(c *qt.C, r *replica.Replica) string {
	raw, err := json.Marshal(r.Snapshot().Stored())
	c.Assert(err, qt.IsNil)
	return string(raw)
}

// TestOddItems guards against an item of another writer that keeps entries from following the table or from starting.
func TestOddItems(t *testing.T) {
	for place, key := range oddItems {
		for kind, value := range oddValues {
			t.Run(place+"/"+kind, func(t *testing.T) {
				c := qt.New(t)
				ctx, store := context.Background(), fake.New().View("z")
				writer, behind, far := replica.New(store), replica.New(store), replica.New(store)
				commitZone(c, writer, "e1", "a")
				for _, r := range []*replica.Replica{behind, far} {
					_, err := r.CatchUp(ctx)
					c.Assert(err, qt.IsNil)
				}
				commitZone(c, writer, "e2", "b")
				commitZone(c, writer, "e3", "a")
				setItem(c, store, key, value)
				var log bytes.Buffer
				fresh := replica.New(store, replica.WithLogger(zerolog.New(&log)))
				for _, r := range []*replica.Replica{fresh, behind} {
					_, err := r.CatchUp(ctx)
					c.Assert(err, qt.IsNil)
					c.Check(tableOf(c, r), qt.Equals, tableOf(c, writer))
				}
				c.Check(strings.HasPrefix(key, "row/") && !strings.Contains(log.String(), "item_malformed"), qt.IsFalse)
				c.Check(log.Len() < 4_000, qt.IsTrue, qt.Commentf("%d bytes", log.Len()))
				commitZone(c, writer, "e4", "a")
				for _, r := range []*replica.Replica{fresh, behind, far, replica.New(store)} {
					_, err := r.CatchUp(ctx)
					c.Assert(err, qt.IsNil)
					c.Check(r.Revision(), qt.Equals, 4)
					c.Check(tableOf(c, r), qt.Equals, tableOf(c, writer))
				}
			})
		}
	}
}

// TestOddRowAndLog guards against a table without a row, or with an earlier state of it, because neither the row nor the
// log entry that may have changed it can be read.
func TestOddRowAndLog(t *testing.T) {
	for _, place := range []string{"first entry of the log", "an entry of the log", "last entry of the log"} {
		t.Run(place, func(t *testing.T) {
			c := qt.New(t)
			store := fake.New().View("z")
			writer := replica.New(store)
			commitZone(c, writer, "e1", "a")
			commitZone(c, writer, "e2", "b")
			commitZone(c, writer, "e3", "a")
			setItem(c, store, oddItems[place], "[1]")
			setItem(c, store, oddItems["row"], "[1]")
			fresh := replica.New(store)
			_, err := fresh.CatchUp(context.Background())
			c.Check(err, qt.ErrorMatches, ".*replace malformed rows.*")
			c.Check(fresh.Revision(), qt.Equals, 0)
		})
	}
}

// TestOddHead guards against an entry that follows a head of another writer to a revision that does not exist.
func TestOddHead(t *testing.T) {
	for name, value := range map[string]string{
		"not JSON": "\x00", "another type": "[1]", "too large": `{"revision":9223372036854775807}`, "beyond 64 bits": `{"revision":9223372036854775808}`,
		"ahead": `{"revision":4}`, "nested": strings.Repeat("[", 30_000),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, store := context.Background(), fake.New().View("z")
			writer, behind := replica.New(store), replica.New(store)
			commitZone(c, writer, "e1", "a")
			_, err := behind.CatchUp(ctx)
			c.Assert(err, qt.IsNil)
			commitZone(c, writer, "e2", "b")
			setItem(c, store, "head", value)
			fresh := replica.New(store)
			for _, r := range []*replica.Replica{fresh, behind, writer} {
				_, err := r.CatchUp(ctx)
				c.Check(err, qt.IsNotNil)
				c.Check(r.Revision() <= 2, qt.IsTrue, qt.Commentf("revision %d", r.Revision()))
			}
			setItem(c, store, "head", `{"revision":2}`)
			for _, r := range []*replica.Replica{fresh, behind} {
				_, err := r.CatchUp(ctx)
				c.Assert(err, qt.IsNil)
				c.Check(tableOf(c, r), qt.Equals, tableOf(c, writer))
			}
		})
	}
}

// TestEntryAtAnotherKey guards against replicas that differ since one has applied an entry that is not at its revision's key.
func TestEntryAtAnotherKey(t *testing.T) {
	c := qt.New(t)
	ctx, store := context.Background(), fake.New().View("z")
	writer, behind := replica.New(store), replica.New(store)
	commitZone(c, writer, "e1", "a")
	_, err := behind.CatchUp(ctx)
	c.Assert(err, qt.IsNil)
	commitZone(c, writer, "e2", "b")
	setItem(c, store, "log/0000000000000002x", `{"revision":3,"changes":[{"kind":"zone","name":"c","after":{}}]}`)
	for _, id := range []string{"", "e3"} {
		if id != "" {
			commitZone(c, writer, id, "a")
		}
		_, err = behind.CatchUp(ctx)
		c.Assert(err, qt.IsNil)
		c.Check(behind.Revision(), qt.Equals, writer.Revision())
		c.Check(tableOf(c, behind), qt.Equals, tableOf(c, writer))
	}
}

// TestOddHistory guards against a change that is told as another one, since the entry of its revision can't be read.
func TestOddHistory(t *testing.T) {
	c := qt.New(t)
	store := fake.New().View("z")
	r := replica.New(store)
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		commitZone(c, r, id, "a")
	}
	for _, key := range []string{"log/0000000000000002", "log/0000000000000002x", "log/0000000000000002y", "log/0000000000000003"} {
		setItem(c, store, key, "[1]")
	}
	for _, tc := range []struct {
		from, limit int
		want        []int
	}{{1, 1, []int{1}}, {2, 1, nil}, {2, 2, nil}, {1, 3, []int{1}}, {1, 4, []int{1, 4}}, {2, 3, []int{4}}, {4, 1, []int{4}}, {5, 3, nil}} {
		entries, err := r.History(context.Background(), tc.from, tc.limit)
		c.Assert(err, qt.IsNil)
		var got []int
		for _, e := range entries {
			got = append(got, e.Revision)
		}
		c.Check(got, qt.DeepEquals, tc.want, qt.Commentf("%d from %d on", tc.limit, tc.from))
	}
}

// TestOddNextEntry guards against a table that can't be edited any more, since an odd item stands where the next entry
// belongs, and against an entry that is overwritten since the head is behind it.
func TestOddNextEntry(t *testing.T) {
	for name, tc := range map[string]struct {
		value string
		made  bool
	}{
		"odd":          {"[1]", true},
		"sound":        {`{"revision":2,"edit_id":"other","changes":[{"kind":"zone","name":"c","after":{}}]}`, false},
		"at other key": {`{"revision":3}`, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := fake.New().View("z")
				replicas := []*replica.Replica{replica.New(store), replica.New(store)}
				commitZone(c, replicas[0], "e1", "a")
				_, err := replicas[1].CatchUp(context.Background())
				c.Assert(err, qt.IsNil)
				setItem(c, store, "log/0000000000000002", tc.value)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				var wg sync.WaitGroup
				for i, id := range []string{"e2", "e3"} {
					wg.Go(func() {
						_, err := replicas[i].Commit(ctx, &table.Edit{ID: id, Actor: "a", Changes: []table.Change{
							{Key: table.Key{Kind: schema.KindZone, Name: id}, Value: table.MustValue(schema.Zone{Note: id})},
						}})
						c.Check(err == nil, qt.Equals, tc.made, qt.Commentf("%v", err))
					})
				}
				wg.Wait()
				for _, r := range replicas {
					_, err := r.CatchUp(context.Background())
					c.Assert(err, qt.IsNil)
					c.Check(tableOf(c, r), qt.Equals, tableOf(c, replicas[0]))
					c.Check(r.Revision() == 3, qt.Equals, tc.made)
				}
				item, err := store.Get(context.Background(), "log/0000000000000002")
				c.Assert(err, qt.IsNil)
				c.Check(string(item.Value) != tc.value, qt.Equals, tc.made)
			})
		})
	}
}
