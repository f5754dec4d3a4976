package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/gateway"
	"github.com/gannetwell/gannetwell/pkg/gateway/once"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// testTable returns a table with three routes and one service whose VMs have the given
// addresses.
func testTable(revision int, addresses ...string) *table.Snapshot {
	route := func(prefix string, class schema.Class, repeat schema.Repeat) rawJSON {
		return table.MustValue(schema.Route{PathPrefix: prefix, Service: "s", Class: class, Repeat: repeat, DeadlineMs: 3000, MaxBodyBytes: 100_000, MaxInFlight: 100})
	}
	list := []table.StoredRow{
		{Key: key(schema.KindZone, "z"), Value: table.MustValue(schema.Zone{})},
		{Key: key(schema.KindRack, "r"), Value: table.MustValue(schema.Rack{Zone: "z"})},
		{Key: key(schema.KindService, "s"), Value: table.MustValue(schema.Service{HealthPath: "/healthz", MaxInFlight: 64})},
		{Key: key(schema.KindPool, "p"), Value: table.MustValue(schema.Pool{Service: "s", Size: 9, MaxUnavailable: 1})},
		{Key: key(schema.KindRoute, "safe"), Value: route("/safe", schema.ClassInteractive, schema.RepeatSafe)},
		{Key: key(schema.KindRoute, "once"), Value: route("/once", schema.ClassInteractive, schema.RepeatOnce)},
		{Key: key(schema.KindRoute, "live"), Value: route("/live", schema.ClassLive, schema.RepeatSafe)},
	}
	for i, a := range addresses {
		vm := schema.VM{Rack: "r", Address: a, Pool: "p", Phase: schema.PhaseActive}
		list = append(list, table.StoredRow{Key: key(schema.KindVM, fmt.Sprintf("w%d", i+1)), Value: table.MustValue(vm)})
	}
	snap, err := table.Load(revision, list)
	if err != nil {
		panic(err)
	}
	return snap
}

type rawJSON = []byte

func key(kind schema.Kind, name string) table.Key { return table.Key{Kind: kind, Name: name} }

// startGateway runs a gateway in front of the servers and returns its URL.
func startGateway(t *testing.T, addresses ...string) (g *gateway.Gateway, url string) {
	return startGatewayWith(t, schema.GatewaySettings{BufferBodyBytes: 1 << 16, Limits: true, Retries: schema.GatewaySettingsRetriesBudget, Hedging: true}, addresses...)
}

func startGatewayWith(t *testing.T, settings schema.GatewaySettings, addresses ...string) (g *gateway.Gateway, url string) {
	g = gateway.New("entry-1", "z", settings)
	g.SetTable(testTable(1, addresses...))
	g.SetReady(true)
	s := httptest.NewUnstartedServer(g)
	s.Config.MaxHeaderBytes = 8 << 10
	s.Config.ErrorLog = nil
	s.Start()
	t.Cleanup(func() { s.Close(); g.Close() })
	return g, s.URL
}

// rawServer handles each connection with f, which gets the connection's number, from 1.
func rawServer(t *testing.T, f func(n int, conn net.Conn)) (address string, conns *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	conns = &atomic.Int64{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1))
			go func() {
				defer func() { _ = conn.Close() }()
				f(n, conn)
			}()
		}
	}()
	return ln.Addr().String(), conns
}

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) error {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return err
}

// post sends a request whose body net/http cannot resend.
func post(t *testing.T, url, body string, header ...string) (status int, outcome gateway.Outcome, respBody string, err error) {
	req, reqErr := http.NewRequest(http.MethodPost, url, io.NopCloser(strings.NewReader(body)))
	qt.Assert(t, reqErr, qt.IsNil)
	req.ContentLength = int64(len(body))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, gateway.Outcome(resp.Header.Get(gateway.HeaderOutcome)), string(raw), err
}

// TestMalformedResponses checks that a malformed or truncated response gives the caller an
// error with the right outcome.
func TestMalformedResponses(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name, response string
		path           string
		status         int
		outcome        gateway.Outcome
		broken         bool // the caller's connection is aborted
	}{
		{"complete response", whole, "/once", 200, gateway.OutcomeRan, false},
		{"no HTTP", "hello, this is no HTTP\r\n\r\n", "/once", 502, gateway.OutcomeUnknown, false},
		{"nothing", "", "/once", 502, gateway.OutcomeUnknown, false},
		{"half a header", "HTTP/1.1 200 OK\r\nContent-", "/once", 502, gateway.OutcomeUnknown, false},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", "/once", 502, gateway.OutcomeUnknown, false},
		{"short small body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok", "/once", 502, gateway.OutcomeUnknown, false},
		{"short large body", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nok", "/once", 502, gateway.OutcomeUnknown, false},
		{"short after the first part", "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 150_000), "/once", 200, gateway.OutcomeRan, true},
		{"broken chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", "/once", 502, gateway.OutcomeUnknown, false},
		{"bad chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello", "/once", 502, gateway.OutcomeUnknown, false},
		{"huge header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 200_000) + "\r\n\r\n", "/once", 502, gateway.OutcomeUnknown, false},
		{"live stream cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", "/live", 200, gateway.OutcomeRan, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			address, conns := rawServer(t, func(_ int, conn net.Conn) {
				if readRequest(bufio.NewReader(conn)) == nil {
					_, _ = io.WriteString(conn, tc.response)
				}
			})
			_, url := startGateway(t, address)
			status, outcome, body, err := post(t, url+tc.path, "body")
			c.Check(status, qt.Equals, tc.status)
			c.Check(outcome, qt.Equals, tc.outcome)
			c.Check(err != nil, qt.Equals, tc.broken, qt.Commentf("error %v, body %q", err, body))
			c.Check(conns.Load(), qt.Equals, int64(1), qt.Commentf("a request that must run once is sent once"))
		})
	}
}

// TestRefusals sends requests that must be rejected without reaching a backend server.
func TestRefusals(t *testing.T) {
	var ran atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	defer backend.Close()
	_, url := startGateway(t, strings.TrimPrefix(backend.URL, "http://"))
	address := strings.TrimPrefix(url, "http://")
	cases := []struct{ name, raw, want string }{
		{"no route", "GET /other HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
		{"body too large", "POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: 100001\r\n\r\n", "413"},
		{"header too large", "GET /once HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 20_000) + "\r\n\r\n", "431"},
		{"two lengths", "POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		{"negative length", "POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", "400"},
		{"unknown coding", "POST /once HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: x, chunked\r\n\r\n0\r\n\r\n", "501"},
		{"no HTTP", "hello\r\n\r\n", "400"},
		{"space in header name", "GET /once HTTP/1.1\r\nHost: x\r\nA B: c\r\n\r\n", "400"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, tc.raw)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Check(resp.Status, qt.Matches, tc.want+" .*")
			c.Check(resp.Header.Get(gateway.HeaderOutcome), qt.Not(qt.Equals), string(gateway.OutcomeRan))
		})
	}
	t.Run("body that breaks off", func(t *testing.T) {
		conn, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		_, _ = io.WriteString(conn, "POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nab")
		qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			qt.Check(t, resp.Header.Get(gateway.HeaderOutcome), qt.Equals, string(gateway.OutcomeNotRun))
		}
	})
	qt.Check(t, ran.Load(), qt.Equals, int64(0))
}

// TestNoReplay closes idle connections under requests that net/http would resend by itself:
// those with an idempotency key or without a body.
func TestNoReplay(t *testing.T) {
	for _, tc := range []struct{ name, method, header string }{
		{"idempotency key", http.MethodPost, "Idempotency-Key"},
		{"x-idempotency key", http.MethodPost, "X-Idempotency-Key"},
		{"safe method", http.MethodGet, "X-Nothing"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var received atomic.Int64
			address, _ := rawServer(t, func(n int, conn net.Conn) {
				r := bufio.NewReader(conn)
				for i := 0; ; i++ {
					if readRequest(r) != nil {
						return
					}
					received.Add(1)
					if n == 1 && i == 1 {
						return // closes the reused connection on its second request
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			_, url := startGateway(t, address)
			send := func() gateway.Outcome {
				req, _ := http.NewRequest(tc.method, url+"/once", nil)
				req.Header.Set(tc.header, "k")
				resp, err := (&http.Client{}).Do(req)
				c.Assert(err, qt.IsNil)
				_ = resp.Body.Close()
				return gateway.Outcome(resp.Header.Get(gateway.HeaderOutcome))
			}
			c.Assert(send(), qt.Equals, gateway.OutcomeRan)
			c.Check(send(), qt.Equals, gateway.OutcomeUnknown)
			c.Check(received.Load(), qt.Equals, int64(2), qt.Commentf("the second request was sent once"))
		})
	}
}

// TestRetry checks that a safe request is retried at another server, and that a request is
// reported as not run if no connection could be opened.
func TestRetry(t *testing.T) {
	c := qt.New(t)
	bad, _ := rawServer(t, func(_ int, conn net.Conn) { _ = readRequest(bufio.NewReader(conn)) })
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	defer good.Close()
	_, url := startGateway(t, bad, strings.TrimPrefix(good.URL, "http://"))
	for range 20 {
		status, outcome, body, err := post(t, url+"/safe", "hello")
		c.Assert(err, qt.IsNil)
		c.Check(status, qt.Equals, 200)
		c.Check(outcome, qt.Equals, gateway.OutcomeRan)
		c.Check(body, qt.Equals, "hello")
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	_ = closed.Close()
	_, url = startGateway(t, closed.Addr().String())
	status, outcome, _, err := post(t, url+"/once", "hello")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 502)
	c.Check(outcome, qt.Equals, gateway.OutcomeNotRun)
}

// TestOutcomeAfterRetry checks that a request whose first attempt may have run is not reported
// as not run after later attempts were refused.
func TestOutcomeAfterRetry(t *testing.T) {
	c := qt.New(t)
	var received atomic.Int64
	bad, _ := rawServer(t, func(n int, conn net.Conn) {
		if readRequest(bufio.NewReader(conn)) != nil {
			return
		}
		received.Add(1)
		if n%2 == 0 { // every second response is a 503
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	_ = closed.Close()
	for range 20 {
		_, url := startGateway(t, bad, closed.Addr().String())
		before := received.Load()
		_, outcome, _, err := post(t, url+"/safe", "hello")
		c.Assert(err, qt.IsNil)
		ran := received.Load() > before
		c.Check(outcome == gateway.OutcomeNotRun, qt.Equals, !ran)
	}
}

// TestServerClosed closes a server by each source while requests run: no request may start
// there afterwards, and its in-flight count must fall to zero and stay there.
func TestServerClosed(t *testing.T) {
	for _, src := range []gateway.Source{gateway.SourceTable, gateway.SourceList, gateway.SourceLeaving} {
		t.Run(fmt.Sprint(src), func(t *testing.T) {
			c := qt.New(t)
			var started [2]atomic.Int64
			var addresses []string
			for i := range started {
				s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { started[i].Add(1) }))
				defer s.Close()
				addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
			}
			g, url := startGateway(t, addresses...)
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
							_, outcome, _, err := post(t, url+"/once", "x")
							c.Check(err, qt.IsNil)
							c.Check(outcome, qt.Equals, gateway.OutcomeRan)
						}
					}
				})
			}
			for started[0].Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			if src == gateway.SourceTable {
				snap := testTable(2, addresses...)
				vm := snap.VMs["w1"]
				vm.Value.Phase = schema.PhaseDraining
				snap.VMs["w1"] = vm
				g.SetTable(snap)
			} else {
				g.SetClosed("w1", src, true)
			}
			for g.InFlight("w1") > 0 {
				time.Sleep(time.Millisecond)
			}
			last, other := started[0].Load(), started[1].Load()
			for started[1].Load() < other+200 {
				time.Sleep(time.Millisecond)
			}
			c.Check(started[0].Load(), qt.Equals, last, qt.Commentf("requests started at a closed server"))
			c.Check(g.InFlight("w1"), qt.Equals, 0)
			close(stop)
			wg.Wait()
		})
	}
}

// TestLive checks bidirectional streaming and protocol upgrades.
func TestLive(t *testing.T) {
	echo := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		if r.Header.Get("Upgrade") == "lesson" {
			w.Header().Set("Connection", "Upgrade")
			w.Header().Set("Upgrade", "lesson")
			w.WriteHeader(http.StatusSwitchingProtocols)
			conn, rw, err := rc.Hijack()
			if err == nil {
				_, _ = io.Copy(conn, rw)
				_ = conn.Close()
			}
			return
		}
		_ = rc.EnableFullDuplex()
		_ = rc.Flush()
		buf := make([]byte, 64)
		for {
			n, err := r.Body.Read(buf)
			_, _ = w.Write(buf[:n])
			_ = rc.Flush()
			if err != nil {
				return
			}
		}
	}))
	defer echo.Close()
	g, url := startGateway(t, strings.TrimPrefix(echo.URL, "http://"))

	t.Run("stream", func(t *testing.T) {
		c := qt.New(t)
		pr, pw := io.Pipe()
		req, _ := http.NewRequest(http.MethodPost, url+"/live/1", pr)
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		back := bufio.NewReader(resp.Body)
		for i := range 5 {
			line := fmt.Sprintf("line %d\n", i)
			_, _ = io.WriteString(pw, line)
			got, err := back.ReadString('\n')
			c.Assert(err, qt.IsNil)
			c.Check(got, qt.Equals, line)
		}
		c.Check(g.InFlight("w1"), qt.Equals, 1)
		_ = pw.Close()
		_, err = io.ReadAll(back)
		c.Check(err, qt.IsNil)
	})

	t.Run("upgrade", func(t *testing.T) {
		c := qt.New(t)
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "GET /live/2 HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: lesson\r\n\r\n")
		back := bufio.NewReader(conn)
		resp, err := http.ReadResponse(back, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusSwitchingProtocols)
		_, _ = io.WriteString(conn, "hello\n")
		got, err := back.ReadString('\n')
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.Equals, "hello\n")
		c.Check(g.Active(), qt.Equals, 1, qt.Commentf("an upgraded connection is active"))
	})
	t.Run("upgrade on a route that is not live", func(t *testing.T) {
		c := qt.New(t)
		req, _ := http.NewRequest(http.MethodGet, url+"/safe", nil)
		req.Header.Set("Connection", "Upgrade")
		req.Header.Set("Upgrade", "lesson")
		resp, err := http.DefaultTransport.RoundTrip(req)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("the request is served without an upgrade"))
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	qt.Assert(t, g.WaitIdle(ctx), qt.IsNil)
}

// TestNoCrossedResponses delays responses past the deadline: no later request on the same
// connection may receive them.
func TestNoCrossedResponses(t *testing.T) {
	c := qt.New(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if bytes.HasPrefix(body, []byte("slow")) {
			<-r.Context().Done()
		}
		_, _ = w.Write(body)
	}))
	defer backend.Close()
	_, url := startGatewayWith(t, schema.GatewaySettings{BufferBodyBytes: 1 << 16}, strings.TrimPrefix(backend.URL, "http://"))
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for j := range 20 {
				text := fmt.Sprintf("quick %d %d", i, j)
				header := []string{}
				if j%5 == 0 {
					text = fmt.Sprintf("slow %d %d", i, j)
					header = []string{gateway.HeaderDeadline, "5"}
				}
				status, outcome, body, err := post(t, url+"/once", text, header...)
				c.Check(err, qt.IsNil)
				if j%5 == 0 {
					c.Check(status, qt.Equals, http.StatusGatewayTimeout)
					c.Check(outcome, qt.Not(qt.Equals), gateway.OutcomeRan)
					continue
				}
				c.Check(body, qt.Equals, text)
			}
		})
	}
	wg.Wait()
}

var errStop = errors.New("stop")

// TestCallerGone checks that a request that must run once is completed after its caller
// disconnects.
func TestCallerGone(t *testing.T) {
	c := qt.New(t)
	started, finished := make(chan struct{}), make(chan error, 1)
	release := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		select {
		case <-r.Context().Done():
			finished <- errStop
		case <-release:
			finished <- nil
		}
	}))
	defer backend.Close()
	g, url := startGateway(t, strings.TrimPrefix(backend.URL, "http://"))
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/once", strings.NewReader("x"))
	go func() {
		<-started
		cancel()
	}()
	_, err := http.DefaultTransport.RoundTrip(req)
	c.Check(err, qt.IsNotNil)
	c.Check(g.InFlight("w1"), qt.Equals, 1)
	close(release)
	c.Check(<-finished, qt.IsNil)
}

// TestKeys repeats a request with an idempotency key at two entries that share a store: it runs
// once, the first entry replays the response, and the other reports an unknown outcome.
func TestKeys(t *testing.T) {
	c := qt.New(t)
	var ran atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s run %d", body, ran.Add(1))
	}))
	defer backend.Close()
	store := fake.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var urls []string
	for i := range 2 {
		claims := once.New(store.View("z"), fmt.Sprintf("entry-%d", i))
		go func() { _ = claims.Run(ctx) }()
		g := gateway.New(fmt.Sprintf("entry-%d", i), "z", schema.GatewaySettings{BufferBodyBytes: 1 << 16}, gateway.WithClaims(claims))
		g.SetTable(testTable(1, strings.TrimPrefix(backend.URL, "http://")))
		g.SetReady(true)
		s := httptest.NewServer(g)
		defer s.Close()
		urls = append(urls, s.URL)
	}
	key := []string{gateway.HeaderKey, "k1"}
	for range 3 {
		status, outcome, body, err := post(t, urls[0]+"/once", "hello", key...)
		c.Assert(err, qt.IsNil)
		c.Check(status, qt.Equals, 200)
		c.Check(outcome, qt.Equals, gateway.OutcomeRan)
		c.Check(body, qt.Equals, "hello run 1")
	}
	status, outcome, _, _ := post(t, urls[1]+"/once", "hello", key...)
	c.Check(status, qt.Equals, http.StatusConflict)
	c.Check(outcome, qt.Equals, gateway.OutcomeUnknown)
	for _, url := range urls {
		status, outcome, _, _ = post(t, url+"/once", "another body", key...)
		c.Check(status, qt.Equals, http.StatusUnprocessableEntity)
		c.Check(outcome, qt.Equals, gateway.OutcomeNotRun)
	}
	store.SetRules(fake.Rule{Fault: fake.FaultDown})
	status, outcome, _, _ = post(t, urls[0]+"/once", "x", gateway.HeaderKey, "k2")
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(outcome, qt.Equals, gateway.OutcomeUnknown, qt.Commentf("an earlier request with the key may have run"))
	c.Check(ran.Load(), qt.Equals, int64(1))
}

// TestRooms checks that both entries send a room to the same server, that all servers are used,
// and that closing a server moves only its own rooms.
func TestRooms(t *testing.T) {
	c := qt.New(t)
	var addresses []string
	for range 4 {
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer s.Close()
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	a, urlA := startGateway(t, addresses...)
	b, urlB := startGateway(t, addresses...)
	place := func(room int) string {
		var at []string
		for _, url := range []string{urlA, urlB, urlA} {
			req, _ := http.NewRequest(http.MethodGet, url+"/live", nil)
			req.Header.Set(gateway.HeaderRoom, fmt.Sprint("room-", room))
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
			at = append(at, resp.Header.Get(gateway.HeaderServer))
		}
		c.Check(at[0] == at[1] && at[1] == at[2], qt.IsTrue, qt.Commentf("%v", at))
		return at[0]
	}
	const rooms = 40
	var before [rooms]string
	used := map[string]int{}
	for room := range rooms {
		before[room] = place(room)
		used[before[room]]++
	}
	c.Check(used, qt.HasLen, 4)
	a.SetClosed("w1", gateway.SourceLeaving, true)
	b.SetClosed("w1", gateway.SourceLeaving, true)
	for room := range rooms {
		after := place(room)
		c.Check(after, qt.Not(qt.Equals), "w1")
		if before[room] != "w1" {
			c.Check(after, qt.Equals, before[room])
		}
	}
}

// TestRates checks the limits per caller and per team. The rate of one request in 1,000 s makes
// the test independent of its own duration.
func TestRates(t *testing.T) {
	c := qt.New(t)
	const rate = 0.001
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer backend.Close()
	address := strings.TrimPrefix(backend.URL, "http://")
	outcomes := func(url string, header ...string) map[string]int {
		out := map[string]int{}
		for range 3 {
			_, outcome, _, err := post(t, url+"/once", "x", header...)
			c.Assert(err, qt.IsNil)
			out[string(outcome)]++
		}
		return out
	}
	g, url := startGatewayWith(t, schema.GatewaySettings{BufferBodyBytes: 1 << 16}, address)
	snap := testTable(2, address)
	snap.Teams = table.Rows[schema.Team]{"slow": {Value: schema.Team{RequestsPerS: rate}}}
	g.SetTable(snap)
	c.Check(outcomes(url, gateway.HeaderTeam, "slow"), qt.DeepEquals, map[string]int{"ran": 1, "not-run": 2})
	c.Check(outcomes(url), qt.DeepEquals, map[string]int{"ran": 3})
	_, url = startGatewayWith(t, schema.GatewaySettings{BufferBodyBytes: 1 << 16, CallerRequestsPerS: rate}, address)
	c.Check(outcomes(url), qt.DeepEquals, map[string]int{"ran": 1, "not-run": 2})
}
