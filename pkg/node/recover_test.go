package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestStopAnswersOpenRequests has a request under way while the node stops by
// plan: the connection must not be closed before the answer.
func TestStopAnswersOpenRequests(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, "e0", "127.0.0.21", services{Rows: fake.NewRows(time.Millisecond, time.Second).As("e0")})
	arrived, release := make(chan struct{}), make(chan struct{})
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = io.WriteString(w, "whole answer")
	})
	ended := make(chan error, 1)
	go func() { ended <- n.Run(Handlers{Callers: slow, Readiness: http.NotFoundHandler()}) }()
	eventually(c, "the node listens", func() bool { return listens(n.settings.Callers) })

	answer := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + n.settings.Callers)
		if err != nil {
			answer <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		raw, _ := io.ReadAll(resp.Body)
		answer <- string(raw)
	}()
	<-arrived
	n.Stop()
	eventually(c, "the node takes no connections any more", func() bool { return !listens(n.settings.Callers) })
	close(release)
	c.Check(<-answer, qt.Equals, "whole answer")
	c.Check(<-ended, qt.IsNil)
}

// TestStopTakesLateRequests has a caller's request on a kept connection arrive 2.9 s
// after the beginning of a planned stop: it is answered. Such connections were closed
// after 2.5 s, with requests on their way on a link that was full.
func TestStopTakesLateRequests(t *testing.T) {
	c := qt.New(t)
	rows := fake.NewRows(time.Millisecond, time.Second)
	putJSON(c, rows.As("operator"), "operator", "catalog", catalog.Catalog{Version: 1})
	n := newTestNode(c, "e0", "127.0.0.22", services{Rows: rows.As("e0")})
	hello := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })
	ended := make(chan error, 1)
	go func() { ended <- n.Run(Handlers{Callers: hello, Readiness: http.NotFoundHandler()}) }()
	eventually(c, "the node is ready", func() bool { ready, _ := n.Ready(); return ready && listens(n.settings.Callers) })
	conn, err := net.Dial("tcp", n.settings.Callers)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(exchange(conn), qt.Contains, "hello")
	n.Stop()
	time.Sleep(2900 * time.Millisecond)
	c.Check(exchange(conn), qt.Contains, "hello")
	c.Check(<-ended, qt.IsNil)
}

// exchange sends a request on an open connection and returns what is answered.
func exchange(conn net.Conn) string {
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: e0\r\n\r\n")
	answer := make([]byte, 1000)
	n, _ := conn.Read(answer)
	return string(answer[:n])
}

func listens(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// TestFeedAfterSilence follows a table whose service takes a call and never
// answers it: once the service answers others again, changes are seen soon.
func TestFeedAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := fake.NewRows(time.Millisecond, time.Second)
		n := newIdleNode(rows)
		stop := begin(func(ctx context.Context) error { return n.follow(ctx, n.workerFeed()) })
		putJSON(c, rows.As("operator"), "workers", "w0", platform.Worker{Boot: "w0"})
		time.Sleep(5 * time.Second)
		c.Check(n.knows("w0"), qt.IsTrue)

		rows.SetFault(func(op fake.RowOp, entry string) fake.Fault {
			if entry == "e0" {
				return fake.FaultLostAfter
			}
			return fake.FaultNone
		})
		putJSON(c, rows.As("operator"), "workers", "w1", platform.Worker{Boot: "w1"}) // the next call is not answered
		time.Sleep(4 * time.Second)
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultNone })
		putJSON(c, rows.As("operator"), "workers", "w2", platform.Worker{Boot: "w2"})
		time.Sleep(2 * time.Second)
		c.Check(n.knows("w2"), qt.IsTrue)
		c.Check(stop(), qt.IsNil)
	})
}

// TestCutOffIsNotReady has an entry lose the table service: alone it keeps callers
// away, while it hears most of the others it does not, since then none can do better.
func TestCutOffIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows, n, stop := followingNode(c)
		ready := func() bool { ok, _ := n.Ready(); return ok }
		time.Sleep(time.Second)
		c.Check(ready(), qt.IsTrue)
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultDown })
		time.Sleep(4 * time.Second)
		c.Check(ready(), qt.IsTrue) // no other entry is known: this one is most of them
		listUnheard(c, n, "e1", "e2")
		c.Check(ready(), qt.IsFalse)
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultNone })
		time.Sleep(2 * time.Second) // a call for changes is answered after its wait
		c.Check(ready(), qt.IsTrue)
		c.Check(stop(), qt.IsNil)
	})
}

// TestCutOffSoonNotReady has an entry lose the table service and all other entries
// at once, as in a zone that is cut off: it says that it is not ready after 1.1 s.
// It took up to 2.5 s, for which callers of the zone went on coming to it.
func TestCutOffSoonNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows, n, stop := followingNode(c)
		listUnheard(c, n, "e1", "e2")
		ready := func() bool { ok, _ := n.Ready(); return ok }
		for range 20 { // the time of the cut between two calls for changes does not matter
			time.Sleep(1700 * time.Millisecond)
			c.Assert(ready(), qt.IsTrue)
		}
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultLostBefore })
		time.Sleep(cutOffAfter + 50*time.Millisecond)
		c.Check(ready(), qt.IsFalse)
		c.Check(stop(), qt.IsNil)
	})
}

// followingNode returns a node that follows a configuration, and the table service that holds it.
func followingNode(c *qt.C) (rows *fake.Rows, n *Node, stop func() error) {
	rows = fake.NewRows(time.Millisecond, time.Second)
	n = newIdleNode(rows)
	putJSON(c, rows.As("operator"), "operator", "catalog", catalog.Catalog{Version: 1})
	return rows, n, begin(n.followCatalog)
}

// listUnheard lets n know other entries that it never hears.
func listUnheard(c *qt.C, n *Node, names ...string) {
	ctx, stopPings := context.WithCancel(context.Background())
	stopPings()
	for _, name := range names {
		listEntry(ctx, c, n, ownership.Member{Name: name, Address: "127.0.0.1:1", Start: 1})
	}
}

// TestDirectoryIsForOwners has an entry own nothing: it leaves the directory of
// workers alone.
func TestDirectoryIsForOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := fake.NewRows(time.Millisecond, time.Second)
		calls := 0
		rows.SetFault(func(fake.RowOp, string) fake.Fault {
			calls++
			return fake.FaultNone
		})
		n := newIdleNode(rows)
		stop := begin(n.followWorkers)
		time.Sleep(time.Minute)
		c.Check(calls, qt.Equals, 0)
		c.Check(stop(), qt.IsNil)
	})
}

// newIdleNode returns a node, e0, that is not run: a test runs parts of it.
func newIdleNode(rows *fake.Rows) *Node {
	return New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{Rows: rows.As("e0")}, source(), testLog())
}

// begin runs a part of a node; stop ends its context and returns what it returned.
func begin(part func(ctx context.Context) error) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- part(ctx) }()
	return func() error {
		cancel()
		return <-done
	}
}

// knows tells whether the directory holds a boot.
func (n *Node) knows(boot string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.workers[boot]
	return ok
}

// TestConfigurationOnSlowLink has a configuration of 480 KB come over a link of
// 250 KB a second: it is in force after 2 s. It was given up after 1.7 s, and asked
// for anew without end.
func TestConfigurationOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := fake.NewRows(time.Millisecond, time.Second)
		n := newIdleNode(rows)
		stop := begin(n.followCatalog)
		time.Sleep(2 * time.Second)
		rows.SetRate(250 << 10)
		padding := catalog.Queue{Name: strings.Repeat("q", 480<<10)}
		putJSON(c, rows.As("operator"), "operator", "catalog", catalog.Catalog{Version: 7, Queues: []catalog.Queue{padding}})
		time.Sleep(3 * time.Second)
		c.Check(n.catalogVersion(), qt.Equals, int64(7))
		c.Check(stop(), qt.IsNil)
	})
}
