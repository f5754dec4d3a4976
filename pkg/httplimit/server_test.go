package httplimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/httplimit"
)

const (
	budgetBytes  = 64 << 10
	maxHeadBytes = 1 << 10
	maxBodyBytes = 16 << 10
	waitTime     = 5 * time.Second // for what has to happen
)

// shortly is a time that a client has to miss.
func shortly() time.Duration { return 50 * time.Millisecond }

// fixture is a server on a loopback address, with a handler that reads bodies.
type fixture struct {
	address string
	budget  *httplimit.Budget
	acting  chan struct{} // a value for each request for /hold and the like that the handler comes to
	proceed chan struct{} // closed to let these go on
	late    chan func()   // called when a read has met its deadline, before the server knows

	mu         sync.Mutex
	halfClosed int // connections closed for writing only, so far
	refusals   map[httplimit.Refusal]int
}

func start(t *testing.T, options ...httplimit.Option) *fixture {
	return startWith(t, budgetBytes, options...)
}

func startWith(t *testing.T, budget int, options ...httplimit.Option) *fixture {
	f := &fixture{
		budget: httplimit.NewBudget(budget), acting: make(chan struct{}, 10), proceed: make(chan struct{}), late: make(chan func(), 1), refusals: map[httplimit.Refusal]int{},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	f.address, ln = ln.Addr().String(), lateListener{ln, f}
	options = append([]httplimit.Option{httplimit.MaxHeadBytes(func() int { return maxHeadBytes }), httplimit.OnRefusal(f.refused)}, options...)
	s := httplimit.NewServer(http.HandlerFunc(f.handle), f.budget, options...)
	go func() { _ = s.Serve(ln) }() // returns when the server is closed
	t.Cleanup(func() { _ = s.Close() })
	return f
}

func (f *fixture) refused(why httplimit.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusals[why]++
}

func (f *fixture) count(why httplimit.Refusal) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusals[why]
}

func (f *fixture) handle(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/none":
		http.Error(w, "none", http.StatusNotFound)
		return
	case "/large":
		_, _ = io.Copy(w, io.LimitReader(zeros{}, 64<<20)) // ends when the client reads no more
		f.acting <- struct{}{}
		return
	case "/stall":
		f.acting <- struct{}{}
		<-f.proceed // without a look at the body
		return
	case "/act":
		f.acting <- struct{}{}
		<-f.proceed
		_, _ = fmt.Fprint(w, r.Context().Err())
		return
	}
	raw, err := httplimit.ReadBody(w, r, maxBodyBytes)
	var refused httplimit.ErrRefused
	switch {
	case errors.As(err, &refused):
		if r.URL.Path == "/refused" {
			f.acting <- struct{}{}
			<-f.proceed
		}
		http.Error(w, string(refused.Why), http.StatusServiceUnavailable)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := httplimit.Replace(r.Context(), raw, len(raw)/2); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/hold" {
		f.acting <- struct{}{}
		<-f.proceed
	}
	if err := r.Context().Err(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "%d", len(raw))
}

// awaitActing waits until the handler acts on a request, or has written its answer.
func (f *fixture) awaitActing(t *testing.T) {
	select {
	case <-f.acting:
	case <-time.After(waitTime):
		t.Fatal("the handler does not get there")
	}
}

// zeros is read without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// client sends text on a connection of its own.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (f *fixture) client(t *testing.T, text string) *client {
	conn, err := net.Dial("tcp", f.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	c := &client{Conn: conn, r: bufio.NewReader(conn)}
	c.send(text)
	return c
}

func (c *client) send(text string) { _, _ = io.WriteString(c.Conn, text) } // the server may have closed

// answer reads an answer; status is 0 if the connection was closed without one.
func (c *client) answer(t *testing.T) (status int, body string) {
	_ = c.SetReadDeadline(time.Now().Add(waitTime))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		qt.Assert(t, isTimeout(err), qt.IsFalse, qt.Commentf("no answer"))
		return 0, ""
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp.StatusCode, strings.TrimSpace(string(raw))
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

func text(n int) string { return strings.Repeat("a", n) }

// TestServedInCalm guards against limits that requests inside them meet, one after the other on a connection, in
// pieces, and after a pause.
func TestServedInCalm(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	client := f.client(t, post("/", maxBodyBytes))
	for range 16 {
		client.send(text(maxBodyBytes / 16))
		time.Sleep(5 * time.Millisecond)
	}
	status, body := client.answer(t)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(body, qt.Equals, fmt.Sprint(maxBodyBytes))
	client.send("GET /none HTTP/1.1\r\nHost: h\r\n\r\n" + post("/", 3) + "abc")
	status, _ = client.answer(t)
	c.Check(status, qt.Equals, http.StatusNotFound)
	_, body = client.answer(t)
	c.Check(body, qt.Equals, "3")
	client.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n2\r\nbc\r\n0\r\n\r\n")
	_, body = client.answer(t)
	c.Check(body, qt.Equals, "3")
	c.Check(f.refusals, qt.HasLen, 0)
	waitFor(t, func() bool { return f.budget.Used() == 0 })
}

// waitFor waits until something holds.
func waitFor(t *testing.T, holds func() bool) {
	for end := time.Now().Add(waitTime); !holds(); time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("it does not come to hold"))
	}
}

// TestBeyondALimit guards against requests beyond a limit that are read on, or not answered.
func TestBeyondALimit(t *testing.T) {
	for name, test := range map[string]struct {
		options []httplimit.Option
		send    string
		status  int
		body    string
		why     httplimit.Refusal
	}{
		"long head":   {nil, "GET / HTTP/1.1\r\nHost: h\r\nX: " + text(3*maxHeadBytes+4096), http.StatusRequestHeaderFieldsTooLarge, "", httplimit.RefusalHead},
		"long body":   {nil, post("/", maxBodyBytes+1), http.StatusServiceUnavailable, "body", httplimit.RefusalBody},
		"long chunks": {nil, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n" + text(maxBodyBytes+1), http.StatusServiceUnavailable, "body", httplimit.RefusalBody},
		"late body":   {[]httplimit.Option{httplimit.BodyTime(50 * time.Millisecond)}, post("/", 100) + "a", http.StatusServiceUnavailable, "body_time", httplimit.RefusalBodyTime},
		"late head":   {[]httplimit.Option{httplimit.HeadTime(shortly)}, "GET / HT", http.StatusBadRequest, "400 Bad Request", ""},
		"idle":        {[]httplimit.Option{httplimit.IdleTime(shortly), httplimit.HeadTime(shortly)}, "", 0, "", ""},
		"unread body": {nil, post("/none", 100) + "a", http.StatusNotFound, "none", ""},
		"only client": {[]httplimit.Option{httplimit.MaxConns(1)}, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusNotFound, "none", ""},
		"empty lines": {nil, strings.Repeat("\r\n", 100), http.StatusBadRequest, "400 Bad Request", ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := start(t, test.options...)
			client := f.client(t, test.send)
			status, body := client.answer(t)
			c.Check(status, qt.Equals, test.status)
			c.Check(body, qt.Equals, test.body)
			if test.why != "" {
				c.Check(f.count(test.why), qt.Equals, 1)
			}
		})
	}
}

// fill has clients send bodies short of their end until there is no room for another.
func (f *fixture) fill(t *testing.T) (crowd []*client) {
	const headsAtMost = 4 << 10 // bytes reserved for all heads
	for i := range budgetBytes/maxBodyBytes - 1 {
		crowd = append(crowd, f.client(t, post("/", maxBodyBytes)+text(maxBodyBytes-1)))
		bodies := (i + 1) * (maxBodyBytes + 1)
		waitFor(t, func() bool { used := f.budget.Used(); return used >= bodies && used < bodies+headsAtMost })
	}
	return crowd
}

// TestBudgetFreedByTheLongest guards against bodies that stay open and keep ordinary requests out.
func TestBudgetFreedByTheLongest(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	crowd := f.fill(t)
	client := f.client(t, post("/", maxBodyBytes)+text(maxBodyBytes))
	status, _ := client.answer(t)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(f.budget.Used() <= budgetBytes, qt.IsTrue)
	status, body := crowd[0].answer(t)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(body, qt.Equals, string(httplimit.RefusalBudget))
}

// TestActedOnIsNotInterrupted guards against a request that a handler acts on and that has to give way: others are
// refused then.
func TestActedOnIsNotInterrupted(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	var acting []*client
	for range 5 {
		acting = append(acting, f.client(t, post("/hold", maxBodyBytes)+text(maxBodyBytes)))
		f.awaitActing(t)
	}
	client := f.client(t, post("/", maxBodyBytes)+text(maxBodyBytes))
	status, _ := client.answer(t)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	close(f.proceed)
	for _, a := range acting {
		status, _ := a.answer(t)
		c.Check(status, qt.Equals, http.StatusOK)
	}
}

// TestAloneBeyondTheBudget guards against a budget that is too small for a single request inside the limits.
func TestAloneBeyondTheBudget(t *testing.T) {
	c := qt.New(t)
	f := startWith(t, 1)
	client := f.client(t, post("/", maxBodyBytes)+text(maxBodyBytes))
	status, _ := client.answer(t)
	c.Check(status, qt.Equals, http.StatusOK)
}

// TestLongestIdleIsClosed guards against idle connections that keep others out.
func TestLongestIdleIsClosed(t *testing.T) {
	c := qt.New(t)
	f := start(t, httplimit.MaxConns(2))
	var idle []*client
	for range 3 {
		idle = append(idle, f.client(t, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n"))
		status, _ := idle[len(idle)-1].answer(t)
		c.Check(status, qt.Equals, http.StatusNotFound)
		waitFor(t, func() bool { return f.budget.Used() == 0 })
	}
	status, _ := idle[0].answer(t)
	c.Check(status, qt.Equals, 0)
	c.Check(f.count(httplimit.RefusalConnections), qt.Equals, 1)
	idle[2].send(post("/", 3) + "abc")
	_, body := idle[2].answer(t)
	c.Check(body, qt.Equals, "3")
}

// TestKeptConnectionIsYoung guards against a request that has to give way since its connection was idle for long.
func TestKeptConnectionIsYoung(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	kept := f.client(t, post("/", 3)+"abc")
	_, body := kept.answer(t)
	c.Check(body, qt.Equals, "3")
	f.fill(t)
	kept.send(post("/", maxBodyBytes) + text(maxBodyBytes))
	status, _ := kept.answer(t)
	c.Check(status, qt.Equals, http.StatusOK)
}

// TestUnreadAnswerEnds guards against clients that read no answer and hold its handler for ever.
func TestUnreadAnswerEnds(t *testing.T) {
	f := start(t, httplimit.WriteTime(50*time.Millisecond))
	f.client(t, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	f.awaitActing(t)
}

// TestReservationFollowsUse guards against a reservation that stays at the size of the text while what was made of
// it is held.
func TestReservationFollowsUse(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	f.client(t, post("/hold", maxBodyBytes)+text(maxBodyBytes))
	f.awaitActing(t)
	c.Check(f.budget.Used() < maxBodyBytes, qt.IsTrue, qt.Commentf("%d", f.budget.Used()))
	c.Check(f.budget.Used() >= maxBodyBytes/2, qt.IsTrue, qt.Commentf("%d", f.budget.Used()))
	close(f.proceed)
	waitFor(t, func() bool { return f.budget.Used() == 0 })
}
