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

// pagedRows is a table service that returns left changed rows, up to 500 per answer.
type pagedRows struct {
	platform.Rows
	left  int
	calls int
}

func (p *pagedRows) FollowRows(ctx context.Context, _ string, after int64, wait time.Duration) (page platform.RowPage, err error) {
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

// TestFullPages checks that full pages are read without a pause and that onBatch runs once per
// page.
func TestFullPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := &pagedRows{left: 2200}
		n := New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{Rows: rows}, source(), testLog())
		ctx, cancel := context.WithCancel(context.Background())
		applied, batches := 0, 0
		began := time.Now()
		var took time.Duration
		err := n.follow(ctx, feed{
			table: "t", minInterval: workerPollInterval,
			list:  func(context.Context) (int64, error) { return 1, nil },
			apply: func(platform.Row) { applied++ },
			onBatch: func() {
				batches++
				if applied == 2200 {
					took = time.Since(began)
					cancel()
				}
			},
		})
		c.Assert(err, qt.IsNil)
		c.Check(batches, qt.Equals, 5)
		c.Check(took <= workerPollInterval, qt.IsTrue, qt.Commentf("took %v", took))
	})
}

// TestCoolingDown checks that the rows in which a cold worker counts down don't reach the owners, and
// that all others do.
func TestCoolingDown(t *testing.T) {
	c := qt.New(t)
	n := New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{}, source(), testLog())
	feed := n.workerFeed()
	for _, tc := range []struct {
		row  string
		want bool
	}{
		{`{"Boot":"a","ColdLeft":4000000000,"ClockMs":1000}`, true},
		{`{"Boot":"a","ColdLeft":2560000000,"ClockMs":2460}`, false},
		{`{"Boot":"a","ColdLeft":1000000000,"ClockMs":3900}`, false},
		{`{"Boot":"a","ColdLeft":900000000,"ClockMs":4000,"Draining":true}`, true},
		{`{"Boot":"a","ColdLeft":4000000000,"ClockMs":4500,"Draining":true}`, true},
		{`{"Boot":"a","ColdLeft":3000000000,"ClockMs":-1,"Draining":true}`, true},
		{`{"Boot":"a","ClockMs":8500,"Draining":true}`, true},
		{`{"Boot":"a","ClockMs":8600,"Draining":true}`, true},
	} {
		n.workersChanged = false
		feed.apply(platform.Row{RowKey: platform.RowKey{Key: "a"}, Value: []byte(tc.row)})
		c.Check(n.workersChanged, qt.Equals, tc.want, qt.Commentf("%s", tc.row))
	}
}

// TestBadDirectoryRow checks that a malformed directory row removes only its own worker, until a
// valid row follows.
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
	c.Check(n.malformedWorkers, qt.HasLen, 0)
}
