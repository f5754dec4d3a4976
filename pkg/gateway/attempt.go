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

// connTrace records which connection an attempt uses.
type connTrace struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64 // bytes written to conn before the attempt
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := info.Conn.(*countingConn); ok {
		t.conn = c
		t.writtenBefore = c.bytesWritten()
	}
}

// abort closes the connection and reports whether any byte of the request was written to it.
func (t *connTrace) abort() Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || t.conn.closeAndCount() == t.writtenBefore {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// attempt is one try of the request at one backend server.
type attempt struct {
	x         *exchange
	server    *Server
	cancel    context.CancelCauseFunc
	trace     connTrace
	resp      *http.Response
	prefix    *[]byte // first part of the response body, prefixLen bytes long
	prefixLen int
	complete  bool // prefix holds the whole body
	err       error
}

// errSuperseded cancels an attempt after a hedged attempt has responded.
var errSuperseded = errors.New("another attempt has answered")

// newAttempt prepares an attempt at an acquired server and returns the function that runs it. ctx
// must outlive the attempt.
func (x *exchange) newAttempt(ctx context.Context, server *Server) (a *attempt, run func()) {
	x.attempts++
	x.tried = append(x.tried, server)
	ctx, cancel := context.WithCancelCause(ctx)
	a = &attempt{x: x, server: server, cancel: cancel}
	req, err := x.newBackendRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.trace.gotConn}), server)
	if err != nil {
		a.err = err
		return a, func() {}
	}
	return a, func() { a.roundTrip(ctx, req) }
}

// roundTrip sends the request and reads the first part of the response.
func (a *attempt) roundTrip(ctx context.Context, req *http.Request) {
	start := time.Now()
	if a.x.isStreaming() {
		timer := time.AfterFunc(a.x.deadline(), func() { a.cancel(context.DeadlineExceeded) })
		defer timer.Stop()
	}
	a.resp, a.err = a.server.transport.RoundTrip(req)
	if a.err == nil && !a.x.isStreaming() {
		a.readPrefix()
	}
	if a.err != nil {
		a.classifyFailure(ctx)
		return
	}
	a.recordResponse(time.Since(start))
}

// readPrefix reads up to prefixSize bytes of the response body.
func (a *attempt) readPrefix() {
	a.prefix = bufferPool.Get().(*[]byte)
	var err error
	a.prefixLen, err = readFull(a.resp.Body, *a.prefix)
	a.complete = errors.Is(err, io.EOF)
	if err != nil && !a.complete {
		a.err = errTruncatedResponse{cause: err}
	}
}

// errTruncatedResponse reports a response body that failed within the prefix.
type errTruncatedResponse struct{ cause error }

// Error returns the cause of the truncation.
func (e errTruncatedResponse) Error() string { return "the answer broke off: " + e.cause.Error() }

// isUnavailable reports whether the backend server responded 502, 503 or 504.
func (a *attempt) isUnavailable() bool {
	switch a.resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// recordResponse updates the server's failure count, latency and concurrency limit.
func (a *attempt) recordResponse(took time.Duration) {
	if a.isUnavailable() {
		a.recordFailure()
		return
	}
	a.server.recordSuccess()
	if a.x.isStreaming() {
		return // the duration of a stream says nothing about latency
	}
	a.server.observe(took)
	a.x.route.hedgeDelay.Observe(took)
	if a.server.limit != nil {
		now := time.Now()
		a.server.limit.ObserveResponse(a.x.route.baseline.Observe(took, now), a.server.inFlight.Load(), now)
	}
}

// recordFailure counts a failure of the server, which may eject it, if limits are enabled.
func (a *attempt) recordFailure() {
	if a.x.g.settings.Limits {
		a.server.recordFailure(a.x.route.service.mayEject)
	}
}

// classifyFailure turns the error of an attempt without a response into an [ErrRequest].
func (a *attempt) classifyFailure(ctx context.Context) {
	cause := a.err
	outcome := a.trace.abort()
	failure := ErrRequest{Status: http.StatusBadGateway, Outcome: outcome, Reason: ReasonBroken, Detail: "the exchange with the backend server broke: " + cause.Error()}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(context.Cause(ctx), errSuperseded):
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
			a.server.limit.ObserveTimeout(time.Now())
		}
	case a.x.r.Context().Err() != nil && ctx.Err() != nil:
		failure.Reason, failure.Detail = ReasonCallerGone, "the caller went away"
		a.err = failure
		return
	case errors.As(cause, new(errTruncatedResponse)):
		failure.Reason = ReasonBadResponse
	case a.trace.conn == nil:
		failure.Reason, failure.Detail = ReasonConnect, "no connection to the backend server: "+cause.Error()
		a.server.failures.Add(failuresToEject) // eject at once: a failed connect is conclusive
	}
	a.recordFailure()
	if outcome == OutcomeNotRun {
		failure = failure.withRetryAfter(defaultRetryAfter)
	}
	a.err = failure
}

// close ends the attempt, releases its buffers and lets the next queued request proceed.
func (a *attempt) close() {
	a.cancel(nil)
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	if a.prefix != nil {
		bufferPool.Put(a.prefix)
		a.prefix = nil
	}
	a.server.release()
	a.x.route.service.queue.Notify()
}

// attemptWithHedge makes an attempt. If the request may be repeated and no response has come
// after the hedging delay, it makes a second attempt at another server and returns the first
// attempt that succeeds.
func (x *exchange) attemptWithHedge(ctx context.Context, server *Server) *attempt {
	a, run := x.newAttempt(ctx, server)
	delay, known := x.route.hedgeDelay.Value()
	if !known || !x.g.settings.Hedging || !x.isRetrySafe() {
		run()
		return x.recordOutcome(a)
	}
	done := make(chan *attempt, 2)
	go func() { run(); done <- a }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case first := <-done:
		return x.recordOutcome(first)
	case <-timer.C:
	}
	b, ok := x.hedge(ctx, done)
	if !ok {
		return x.recordOutcome(<-done)
	}
	winner := <-done
	loser := a
	if winner == a {
		loser = b
	}
	if winner.err != nil { // the other attempt may still succeed
		x.recordOutcome(winner)
		winner, loser = <-done, winner
		loser.close()
		return x.recordOutcome(winner)
	}
	loser.cancel(errSuperseded)
	go func() { (<-done).close() }()
	return x.recordOutcome(winner)
}

// hedge starts a second attempt if the hedging budget allows it.
func (x *exchange) hedge(ctx context.Context, done chan<- *attempt) (b *attempt, ok bool) {
	if x.attempts >= maxAttempts || !x.route.service.hedges.TryWithdraw() {
		return nil, false
	}
	server, ok := x.tryAcquireServer()
	if !ok {
		return nil, false
	}
	b, run := x.newAttempt(ctx, server)
	go func() { run(); done <- b }()
	return b, true
}

// recordOutcome records on the exchange that an attempt may have run.
func (x *exchange) recordOutcome(a *attempt) *attempt {
	var failure ErrRequest
	if errors.As(a.err, &failure) && failure.Outcome != OutcomeNotRun {
		x.mayHaveRun = true
	}
	return a
}

// deliver sends the response of an attempt to the caller.
func (x *exchange) deliver(a *attempt) error {
	defer a.close()
	if a.resp.StatusCode == http.StatusSwitchingProtocols {
		return x.relayUpgrade(a.resp)
	}
	x.saveResponse(a)
	return x.relay(a)
}

// newBackendRequest builds the request to a backend server.
func (x *exchange) newBackendRequest(ctx context.Context, server *Server) (req *http.Request, err error) {
	u := *x.r.URL
	u.Scheme = "http"
	u.Host = server.Address
	req = (&http.Request{
		Method: x.r.Method, URL: &u, Host: x.r.Host, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: x.requestBody(), ContentLength: x.r.ContentLength,
	}).WithContext(ctx)
	copyHeaders(req.Header, x.r.Header)
	addForwardedFor(req.Header, x.r.RemoteAddr)
	req.Header.Set(HeaderRequestID, x.id)
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // suppresses net/http's default
	}
	if up := upgradeProtocol(x.r.Header); up != "" && x.isStreaming() {
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
