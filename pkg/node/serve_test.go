package node

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/httplimit"
)

// serveCallers starts the callers' listener of a node and returns its address.
func serveCallers(c *qt.C, n *Node) string {
	limits, err := n.connectionLimits()
	c.Assert(err, qt.IsNil)
	a, err := n.listenHTTP("127.0.0.1:0", http.NotFoundHandler(), n.callerOptions(limits)...)
	c.Assert(err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		_ = a.serve() // ends with the test
		close(done)
	}()
	c.Cleanup(func() {
		a.interrupt(nil)
		<-done
	})
	return a.ln.Addr().String()
}

// setLimits puts a configuration with limits into force.
func setLimits(n *Node, l catalog.Limits) {
	n.catalog.Store(&storedCatalog{Catalog: catalog.New(catalog.Catalog{Limits: l})})
}

// closesWithin reports whether the server closes a connection.
func closesWithin(c *qt.C, conn net.Conn, d time.Duration) bool {
	c.Assert(conn.SetReadDeadline(time.Now().Add(d)), qt.IsNil)
	_, err := io.Copy(io.Discard, conn)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// TestTimesOfTheConfiguration guards against time limits of the configuration that nothing applies, or only at start.
func TestTimesOfTheConfiguration(t *testing.T) {
	const (
		short = 20 * time.Millisecond
		soon  = 5 * short
	)
	c := qt.New(t)
	n := newTestNode(c, "e", loopback(90), services{})
	address := serveCallers(c, n)
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		c.Assert(err, qt.IsNil)
		return conn
	}
	answered := func(conn net.Conn) net.Conn {
		c.Assert(conn.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		return conn
	}
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	setLimits(n, catalog.Limits{HeaderTimeout: short, IdleTimeout: time.Hour})
	c.Check(closesWithin(c, dial("GET / HT"), httplimit.DefaultHeadTime/2), qt.IsTrue)
	kept := answered(dial(request))
	c.Check(closesWithin(c, kept, soon), qt.IsFalse)
	setLimits(n, catalog.Limits{HeaderTimeout: time.Hour, IdleTimeout: short})
	c.Check(closesWithin(c, dial("GET / HT"), soon), qt.IsFalse)
	_, err := io.WriteString(kept, request)
	c.Assert(err, qt.IsNil)
	c.Check(closesWithin(c, answered(kept), httplimit.DefaultHeadTime/2), qt.IsTrue)
}

// TestConnectionsWithinDescriptors guards against a setting by which callers may take all descriptors of the process.
func TestConnectionsWithinDescriptors(t *testing.T) {
	var r syscall.Rlimit
	qt.Assert(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r), qt.IsNil)
	for name, test := range map[string]struct {
		connections int
		within      func(callers int) bool
	}{
		"few":     {3, func(n int) bool { return n == 3 }},
		"many":    {math.MaxInt32, func(n int) bool { return n > 3 && uint64(n) <= r.Cur/2 }},
		"default": {0, func(n int) bool { return n > 3 && uint64(n) <= r.Cur/2 }},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(qt.New(t), "e", loopback(91), services{})
			var log bytes.Buffer
			n.log, n.settings.Connections = zerolog.New(&log), test.connections
			limits, err := n.connectionLimits()
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, test.within(limits.Callers), qt.IsTrue, qt.Commentf("%d", limits.Callers))
			qt.Check(t, strings.Contains(log.String(), "connections_lowered"), qt.Equals, limits.Callers < test.connections)
		})
	}
}
