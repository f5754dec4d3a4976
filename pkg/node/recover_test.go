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

// TestStopAnswersOpenRequests guards against closing a connection before its request is answered in
// a planned stop.
func TestStopAnswersOpenRequests(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, "e0", loopback(21), services{Rows: fake.NewRows(time.Millisecond, time.Second).As("e0")})
	arrived, release := make(chan struct{}), make(chan struct{})
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = io.WriteString(w, "whole answer")
	})
	ended := make(chan error, 1)
	go func() { ended <- n.Run(Handlers{JobAPI: slow, Readiness: http.NotFoundHandler()}) }()
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
	eventually(c, "the node accepts no connections any more", func() bool { return !listens(n.settings.Callers) })
	close(release)
	c.Check(<-answer, qt.Equals, "whole answer")
	c.Check(<-ended, qt.IsNil)
}

// TestStopTakesLateRequests guards against closing an open connection too early in a planned stop,
// while requests may still be delayed on a saturated link.
func TestStopTakesLateRequests(t *testing.T) {
	c := qt.New(t)
	rows := fake.NewRows(time.Millisecond, time.Second)
	putJSON(c, rows.As("operator"), "operator", "catalog", catalog.Catalog{Version: 1})
	n := newTestNode(c, "e0", loopback(22), services{Rows: rows.As("e0")})
	hello := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })
	ended := make(chan error, 1)
	go func() { ended <- n.Run(Handlers{JobAPI: hello, Readiness: http.NotFoundHandler()}) }()
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

// exchange sends a request on an open connection and returns the answer.
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

// TestFeedAfterOutage guards against a feed that misses later changes after some of its polls got no
// answer.
func TestFeedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := fake.NewRows(time.Millisecond, time.Second)
		n := newIdleNode(rows)
		stop := start(func(ctx context.Context) error { return n.follow(ctx, n.workerFeed()) })
		putJSON(c, rows.As("operator"), "workers", "w0", platform.Worker{Boot: "w0"})
		time.Sleep(5 * time.Second)
		c.Check(n.hasWorker("w0"), qt.IsTrue)

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
		c.Check(n.hasWorker("w2"), qt.IsTrue)
		c.Check(stop(), qt.IsNil)
	})
}

// TestIsolatedNotReady checks that an entry without the table service is not ready while it hears
// few others, and stays ready while it hears most of them.
func TestIsolatedNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows, n, stop := followingNode(c)
		ready := func() bool { ok, _ := n.Ready(); return ok }
		time.Sleep(time.Second)
		c.Check(ready(), qt.IsTrue)
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultDown })
		time.Sleep(4 * time.Second)
		c.Check(ready(), qt.IsTrue) // no other entry is known, so this one is the majority
		listUnheard(c, n, "e1", "e2")
		c.Check(ready(), qt.IsFalse)
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultNone })
		time.Sleep(2 * time.Second) // a long poll is answered after its wait
		c.Check(ready(), qt.IsTrue)
		c.Check(stop(), qt.IsNil)
	})
}

// TestIsolationDetectionTime bounds the time until an entry in an isolated zone reports that it is
// not ready.
func TestIsolationDetectionTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows, n, stop := followingNode(c)
		listUnheard(c, n, "e1", "e2")
		ready := func() bool { ok, _ := n.Ready(); return ok }
		for range 20 { // at different times between two polls
			time.Sleep(1700 * time.Millisecond)
			c.Assert(ready(), qt.IsTrue)
		}
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultLostBefore })
		time.Sleep(isolationTimeout + 50*time.Millisecond)
		c.Check(ready(), qt.IsFalse)
		c.Check(stop(), qt.IsNil)
	})
}

// followingNode returns a node that follows its configuration, and its table service.
func followingNode(c *qt.C) (rows *fake.Rows, n *Node, stop func() error) {
	rows = fake.NewRows(time.Millisecond, time.Second)
	n = newIdleNode(rows)
	putJSON(c, rows.As("operator"), "operator", "catalog", catalog.Catalog{Version: 1})
	return rows, n, start(n.followCatalog)
}

// listUnheard lists other entries at n that never answer.
func listUnheard(c *qt.C, n *Node, names ...string) {
	ctx, stopPings := context.WithCancel(context.Background())
	stopPings()
	for _, name := range names {
		listEntry(ctx, c, n, ownership.Member{Name: name, Address: "127.0.0.1:1", Start: 1})
	}
}

// TestDirectoryIsForOwners checks that an entry that owns no shard does not read the worker
// directory.
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
		stop := start(n.followWorkers)
		time.Sleep(time.Minute)
		c.Check(calls, qt.Equals, 0)
		c.Check(stop(), qt.IsNil)
	})
}

// newIdleNode returns the node e0 with none of its background loops running.
func newIdleNode(rows *fake.Rows) *Node {
	return New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{Rows: rows.As("e0")}, source(), testLog())
}

// start runs a background loop of a node; stop cancels its context and returns its result.
func start(loop func(ctx context.Context) error) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- loop(ctx) }()
	return func() error {
		cancel()
		return <-done
	}
}

// hasWorker reports whether the directory holds a boot.
func (n *Node) hasWorker(boot string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.workers[boot]
	return ok
}

// TestConfigurationOnSlowLink guards against timing out the read of a large configuration on a slow
// link.
func TestConfigurationOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := fake.NewRows(time.Millisecond, time.Second)
		n := newIdleNode(rows)
		stop := start(n.followCatalog)
		time.Sleep(2 * time.Second)
		rows.SetRate(250 << 10)
		padding := catalog.Queue{Name: strings.Repeat("q", 480<<10)}
		putJSON(c, rows.As("operator"), "operator", "catalog", catalog.Catalog{Version: 7, Queues: []catalog.Queue{padding}})
		time.Sleep(3 * time.Second)
		c.Check(n.catalogVersion(), qt.Equals, int64(7))
		c.Check(stop(), qt.IsNil)
	})
}
