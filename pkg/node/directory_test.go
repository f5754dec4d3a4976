package node

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// pages gives changed rows out as a busy table service does: 500 in an answer.
type pages struct {
	platform.Rows
	left  int
	calls int
}

func (p *pages) FollowRows(ctx context.Context, _ string, after int64, wait time.Duration) (page platform.RowPage, err error) {
	p.calls++
	n := min(500, p.left)
	if n == 0 {
		select {
		case <-ctx.Done():
			return page, ctx.Err()
		case <-time.After(wait):
		}
	}
	p.left -= n
	page.Rows = make([]platform.Row, n)
	page.Version = after + 1
	return page, nil
}

// TestFullPages follows a table of which 2,200 rows have changed. They are all read at
// once, and passed on once an answer; with the pause after each answer it took 1.6 s more.
func TestFullPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := &pages{left: 2200}
		n := New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{Rows: rows}, source(), testLog())
		ctx, cancel := context.WithCancel(context.Background())
		applied, passed := 0, 0
		began := time.Now()
		var took time.Duration
		err := n.follow(ctx, feed{
			table: "t", pace: workersPace,
			list:  func(context.Context) (int64, error) { return 1, nil },
			apply: func(platform.Row) { applied++ },
			applied: func() {
				passed++
				if applied == 2200 {
					took = time.Since(began)
					cancel()
				}
			},
		})
		c.Assert(err, qt.IsNil)
		c.Check(passed, qt.Equals, 5)
		c.Check(took <= workersPace, qt.IsTrue, qt.Commentf("took %v", took))
	})
}

// TestBadDirectoryRow has a worker's row overwritten by one that can't be read, and written
// well again: it names no worker meanwhile, the other rows hold.
func TestBadDirectoryRow(t *testing.T) {
	c := qt.New(t)
	n := New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{}, source(), testLog())
	boots := func() (out []string) {
		for boot := range n.workers {
			out = append(out, boot)
		}
		slices.Sort(out)
		return out
	}
	feed := n.workerFeed()
	row := func(key, value string, version int64) platform.Row {
		return platform.Row{RowKey: platform.RowKey{Key: key}, Value: []byte(value), Version: version}
	}
	feed.apply(row("a", `{"Boot":"a"}`, 1))
	feed.apply(row("b", `{"Boot":"b"}`, 2))
	feed.apply(row("c", `}`, 3))
	c.Check(boots(), qt.DeepEquals, []string{"a", "b"})
	feed.apply(row("a", `{"Boot":7}`, 4))
	c.Check(boots(), qt.DeepEquals, []string{"b"})
	feed.apply(row("a", `{"Boot":"a"}`, 5))
	c.Check(boots(), qt.DeepEquals, []string{"a", "b"})
	feed.apply(row("c", "", 6))
	feed.apply(platform.Row{RowKey: platform.RowKey{Key: "c"}, Removed: true, Version: 7})
	c.Check(n.badWorkers, qt.HasLen, 0)
}
