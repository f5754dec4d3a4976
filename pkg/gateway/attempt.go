package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"
)

// trace follows which connection an attempt uses.
type trace struct {
	mu     sync.Mutex
	conn   *sealedConn
	before int64 // bytes written on it before the attempt
}

func (t *trace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := info.Conn.(*sealedConn); ok {
		t.conn = c
		t.before = c.count()
	}
}

// giveUp seals the connection and tells whether any byte of the request was written.
func (t *trace) giveUp() Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || t.conn.seal() == t.before {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// attempt is the request at one server.
type attempt struct {
	x      *exchange
	server *Server
	cancel context.CancelCauseFunc
	trace  trace
	resp   *http.Response
	first  *[]byte // the first part of the answer, of n bytes
	n      int
	whole  bool // there is no more
	err    error
}

// errLost ends an attempt when another one has answered.
var errLost = errors.New("another attempt has answered")

// begin makes an attempt at a claimed server; ctx outlives it.
func (x *exchange) begin(ctx context.Context, server *Server) (a *attempt, run func()) {
	x.attempts++
	x.tried = append(x.tried, server)
	ctx, cancel := context.WithCancelCause(ctx)
	a = &attempt{x: x, server: server, cancel: cancel}
	req, err := x.outgoing(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.trace.gotConn}), server)
	if err != nil {
		a.err = err
		return a, func() {}
	}
	return a, func() { a.exchange(ctx, req) }
}

// exchange sends the request and takes the first part of the answer.
func (a *attempt) exchange(ctx context.Context, req *http.Request) {
	began := time.Now()
	if a.x.streams() {
		timer := time.AfterFunc(a.x.deadline(), func() { a.cancel(context.DeadlineExceeded) })
		defer timer.Stop()
	}
	a.resp, a.err = a.server.transport.RoundTrip(req)
	if a.err == nil && !a.x.streams() {
		a.readFirst()
	}
	if a.err != nil {
		a.broken(ctx)
		return
	}
	a.answered(time.Since(began))
}

// readFirst reads the first part of the answer.
func (a *attempt) readFirst() {
	a.first = copyBuffers.Get().(*[]byte)
	var err error
	a.n, err = fill(a.resp.Body, *a.first)
	a.whole = errors.Is(err, io.EOF)
	if err != nil && !a.whole {
		a.err = errBadAnswer{cause: err}
	}
}

// errBadAnswer is an answer that broke off in its first part.
type errBadAnswer struct{ cause error }

// Error gives the cause.
func (e errBadAnswer) Error() string { return "the answer broke off: " + e.cause.Error() }

// unwell tells that the answer is the server's own word that it cannot serve now.
func (a *attempt) unwell() bool {
	switch a.resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// answered takes what the answer tells of the server.
func (a *attempt) answered(took time.Duration) {
	if a.unwell() {
		a.fail()
		return
	}
	a.server.succeed()
	if a.x.streams() {
		return // a lesson's length tells nothing of the server
	}
	a.server.observe(took)
	a.x.route.late.Observe(took)
	if a.server.limit != nil {
		now := time.Now()
		a.server.limit.Answered(a.x.route.baseline.Observe(took, now), a.server.inFlight.Load(), now)
	}
}

// fail notes that the server failed; without limits, as in the baseline, nothing follows.
func (a *attempt) fail() {
	if a.x.g.settings.Limits {
		a.server.fail(a.x.route.service.mayEject)
	}
}

// broken sorts the failure of an attempt that got no answer.
func (a *attempt) broken(ctx context.Context) {
	cause := a.err
	outcome := a.trace.giveUp()
	failure := ErrRequest{Status: http.StatusBadGateway, Outcome: outcome, Reason: ReasonBroken, Detail: "the exchange with the backend server broke: " + cause.Error()}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(context.Cause(ctx), errLost):
		a.err = failure
		return
	case errors.As(cause, &tooLarge):
		failure.Status, failure.Reason = http.StatusRequestEntityTooLarge, ReasonTooLarge
		failure.Detail = "the body is larger than the route takes"
		a.err = failure
		return
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		failure.Status, failure.Reason = http.StatusGatewayTimeout, ReasonDeadline
		failure.Detail = "no answer within the deadline"
		if a.server.limit != nil {
			a.server.limit.Overdue(time.Now())
		}
	case a.x.r.Context().Err() != nil && ctx.Err() != nil:
		failure.Reason, failure.Detail = ReasonCallerGone, "the caller went away"
		a.err = failure
		return
	case errors.As(cause, new(errBadAnswer)):
		failure.Reason = ReasonBadAnswer
	case a.trace.conn == nil:
		failure.Reason, failure.Detail = ReasonConnect, "no connection to the backend server: "+cause.Error()
		a.server.failures.Add(failuresToClose) // no second sign is needed
	}
	a.fail()
	if outcome == OutcomeNotRun {
		failure = failure.comeBack(comeBackSoon)
	}
	a.err = failure
}

// close ends the attempt and gives its place to the next request.
func (a *attempt) close() {
	a.cancel(nil)
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	if a.first != nil {
		copyBuffers.Put(a.first)
		a.first = nil
	}
	a.server.release()
	a.x.route.service.queue.Free()
}

// race makes an attempt and, when the answer of a request that may be repeated
// is late, another at a second server; it returns the first that is answered.
func (x *exchange) race(ctx context.Context, server *Server) *attempt {
	a, run := x.begin(ctx, server)
	late, known := x.route.late.Value()
	if !known || !x.g.settings.Hedging || !x.repeatable() {
		run()
		return x.settle(a)
	}
	done := make(chan *attempt, 2)
	go func() { run(); done <- a }()
	timer := time.NewTimer(late)
	defer timer.Stop()
	select {
	case first := <-done:
		return x.settle(first)
	case <-timer.C:
	}
	b, ok := x.hedge(ctx, done)
	if !ok {
		return x.settle(<-done)
	}
	winner := <-done
	loser := a
	if winner == a {
		loser = b
	}
	if winner.err != nil { // the other may still answer
		x.settle(winner)
		winner, loser = <-done, winner
		loser.close()
		return x.settle(winner)
	}
	loser.cancel(errLost)
	go func() { (<-done).close() }()
	return x.settle(winner)
}

// hedge begins a second attempt, within the budget.
func (x *exchange) hedge(ctx context.Context, done chan<- *attempt) (b *attempt, ok bool) {
	if x.attempts >= maxAttempts || !x.route.service.hedges.Spend() {
		return nil, false
	}
	server, ok := x.pick()
	if !ok {
		return nil, false
	}
	b, run := x.begin(ctx, server)
	go func() { run(); done <- b }()
	return b, true
}

// settle notes what the attempt means for the outcome of the request.
func (x *exchange) settle(a *attempt) *attempt {
	var failure ErrRequest
	if errors.As(a.err, &failure) && failure.Outcome != OutcomeNotRun {
		x.handed = true
	}
	return a
}

// deliver sends an answer to the caller.
func (x *exchange) deliver(a *attempt) error {
	defer a.close()
	if a.resp.StatusCode == http.StatusSwitchingProtocols {
		return x.relayUpgrade(a.resp)
	}
	x.keep(a)
	return x.relay(a)
}

// outgoing makes the request to a backend server.
func (x *exchange) outgoing(ctx context.Context, server *Server) (req *http.Request, err error) {
	u := *x.r.URL
	u.Scheme = "http"
	u.Host = server.Address
	req = (&http.Request{
		Method: x.r.Method, URL: &u, Host: x.r.Host, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: x.requestBody(), ContentLength: x.r.ContentLength,
	}).WithContext(ctx)
	passOn(req.Header, x.r.Header)
	addForwarded(req.Header, x.r.RemoteAddr)
	req.Header.Set(HeaderRequestID, x.id)
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // net/http adds its own otherwise
	}
	if up := upgradeOf(x.r.Header); up != "" && x.streams() {
		req.Header.Set("Connection", "Upgrade")
		req.Header.Set("Upgrade", up)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		if left <= 0 {
			return nil, notRun(http.StatusGatewayTimeout, ReasonDeadline, "no time is left")
		}
		req.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return req, nil
}
