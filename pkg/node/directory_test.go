package node

import (
	"context"
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
