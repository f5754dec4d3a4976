package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gannetwell/gannetwell/pkg/connlimit"
	"github.com/gannetwell/gannetwell/pkg/gateway/once"
	"github.com/gannetwell/gannetwell/pkg/gateway/retry"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// maxAttempts is the number of servers at which one request is tried, at most.
	maxAttempts = 3
	// responseGrace is the time past the deadline in which the caller must have read the
	// response.
	responseGrace = 10 * time.Second
	// defaultRetryAfter is the Retry-After sent while a service is overloaded or has no server.
	defaultRetryAfter = time.Second
)

// exchange is one request of a caller and its response.
type exchange struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	view  *view
	start time.Time
	id    string
	route *route

	body          []byte // buffered request body
	buffered      bool   // body holds the whole request body
	reservedBytes int64  // part of Gateway.bodyMemory reserved for body
	tried         []*Server
	mayHaveRun    bool // an attempt had an unknown outcome, so the request cannot be reported as not run
	attempts      int
	claim         *once.Claim    // claim on the idempotency key, if any
	savedResponse *once.Response // response to save under the idempotency key
}

// serve runs the request from admission to the final response.
func (x *exchange) serve() {
	err := x.admit()
	if err == nil {
		err = x.run()
	}
	err = x.adjustKeyedOutcome(err)
	x.finishClaim(err)
	x.g.bodyMemory.Release(x.reservedBytes)
	x.finish(err)
}

// setGatewayHeaders sets the headers that every response carries.
func (x *exchange) setGatewayHeaders(h http.Header) {
	h.Set(HeaderRequestID, x.id)
	h.Set(HeaderEntry, x.g.name)
	h.Set(HeaderRevision, strconv.Itoa(x.view.revision))
	if x.g.stopping.Load() {
		h.Set("Connection", "close")
	}
}

// finish updates metrics and, if the request failed, logs the failure and sends the error
// response.
func (x *exchange) finish(err error) {
	name, class := "", ""
	if x.route != nil {
		name, class = x.route.name, string(x.route.Class)
	}
	elapsed := time.Since(x.start)
	x.g.metrics.seconds.WithLabelValues(class).Observe(elapsed.Seconds())
	if x.attempts > 1 {
		x.g.metrics.retries.WithLabelValues(name).Add(float64(x.attempts - 1))
	}
	if err == nil {
		x.g.metrics.requests.WithLabelValues(name, string(OutcomeRan), "").Inc()
		return
	}
	failure := asErrRequest(err)
	x.g.metrics.requests.WithLabelValues(name, string(failure.Outcome), string(failure.Reason)).Inc()
	x.g.log.Info().Str("event", "request_failed").Str("request_id", x.id).Str("route", name).
		Str("outcome", string(failure.Outcome)).Str("reason", string(failure.Reason)).
		Str("detail", failure.Detail).Int("attempts", x.attempts).
		Int64("elapsed_us", elapsed.Microseconds()).Send()
	x.g.failures.add(x.id, Failure{
		At: x.start, Route: name, Outcome: failure.Outcome, Reason: failure.Reason, Detail: failure.Detail,
		Attempts: x.attempts, Servers: x.triedNames(), Took: elapsed,
	})
	var broken errResponseBroken
	if errors.As(err, &broken) {
		panic(http.ErrAbortHandler) // part of the response was sent: abort the connection so that it is not taken for complete
	}
	if !x.buffered && x.r.ContentLength != 0 {
		// net/http reads the rest of the body before it responds unless the connection is
		// closed, so a slow caller could delay the response.
		x.w.Header().Set("Connection", "close")
	}
	failure.write(x.w)
}

// triedNames returns the names of the servers tried, in order.
func (x *exchange) triedNames() (names []string) {
	for _, s := range x.tried {
		names = append(names, s.Name)
	}
	return names
}

// errResponseBroken reports a response that failed after part of it was sent to the caller.
type errResponseBroken struct{ cause ErrRequest }

// Error returns the cause of the failure.
func (e errResponseBroken) Error() string { return e.cause.Error() }

func asErrRequest(err error) ErrRequest {
	var failure ErrRequest
	var broken errResponseBroken
	switch {
	case errors.As(err, &failure):
		return failure
	case errors.As(err, &broken):
		return broken.cause
	}
	return ErrRequest{Status: http.StatusInternalServerError, Outcome: OutcomeUnknown, Reason: ReasonBroken, Detail: err.Error()}
}

// admit matches the route, applies rate limits and reads small bodies. Nothing is sent to a
// backend server before it succeeds.
func (x *exchange) admit() error {
	if !x.g.ready.Load() {
		return notRun(http.StatusServiceUnavailable, ReasonStarting, "this entry is starting").withRetryAfter(defaultRetryAfter)
	}
	x.route = x.view.match(x.r.Method, x.r.URL.Path)
	if x.route == nil {
		return notRun(http.StatusNotFound, ReasonNoRoute, "no route takes "+x.r.Method+" "+x.r.URL.Path)
	}
	if err := x.checkRates(); err != nil {
		return err
	}
	rc := http.NewResponseController(x.w)
	if x.isStreaming() {
		_ = rc.EnableFullDuplex() // otherwise the server stops reading the body once a response starts
	} else {
		_ = rc.SetWriteDeadline(x.start.Add(x.deadline() + responseGrace)) // bounds the time for which a caller that does not read holds resources
	}
	limit := int64(x.route.MaxBodyBytes)
	if limit > 0 && x.r.ContentLength > limit {
		return notRun(http.StatusRequestEntityTooLarge, ReasonTooLarge,
			"the route takes bodies of at most "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if limit > 0 {
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	return x.readBody(rc)
}

// checkRates applies the request rate limits of the caller's address and of the team.
func (x *exchange) checkRates() error {
	host, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		host = x.r.RemoteAddr
	}
	if !x.g.callerRates.Allow(host, x.g.settings.CallerRequestsPerS, x.start) {
		return notRun(http.StatusTooManyRequests, ReasonRate, "the caller sends more requests a second than it may").withRetryAfter(defaultRetryAfter)
	}
	team := x.r.Header.Get(HeaderTeam)
	if team != "" && !x.g.teamRates.Allow(team, x.view.teamRates[team], x.start) {
		return notRun(http.StatusTooManyRequests, ReasonRate, "the team sends more requests a second than it may").withRetryAfter(defaultRetryAfter)
	}
	return nil
}

// readBody buffers a small request body, so that slow or failing callers do not occupy a
// backend server.
func (x *exchange) readBody(rc *http.ResponseController) error {
	n := x.r.ContentLength
	if n == 0 {
		x.buffered = true
		return nil
	}
	if n < 0 || n > int64(x.g.settings.BufferBodyBytes) || x.isStreaming() {
		return nil
	}
	if !x.g.bodyMemory.TryAcquire(n) {
		return notRun(http.StatusServiceUnavailable, ReasonBusy, "the memory for request bodies is used up").withRetryAfter(defaultRetryAfter)
	}
	x.reservedBytes = n
	x.body = make([]byte, n)
	if t := x.g.settings.BodyTimeoutMs; t > 0 {
		_ = rc.SetReadDeadline(x.start.Add(time.Duration(t) * time.Millisecond))
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	if _, err := io.ReadFull(x.r.Body, x.body); err != nil {
		return notRun(http.StatusBadRequest, ReasonBadBody, "the request's body broke off or came too slowly")
	}
	x.buffered = true
	return nil
}

// isStreaming reports whether bodies are forwarded unbuffered in both directions.
func (x *exchange) isStreaming() bool { return x.route.Class == schema.ClassLive }

// isRetrySafe reports whether the route allows the request to run more than once and its body
// can be resent.
func (x *exchange) isRetrySafe() bool {
	return x.route.Repeat == schema.RepeatSafe && x.buffered && !x.isStreaming()
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (x *exchange) run() error {
	slots := x.route.slots
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
		connlimit.Busy(x.r.Context())
	default:
		return notRun(http.StatusServiceUnavailable, ReasonBusy, "the route's requests in flight are at their limit").withRetryAfter(defaultRetryAfter)
	}
	ctx, cancel := x.context()
	defer cancel()
	if x.hasKey() {
		if done, err := x.claimKey(ctx); done || err != nil {
			return err
		}
	}
	x.route.service.retries.Deposit()
	x.route.service.hedges.Deposit()
	server, err := x.acquireServer(ctx)
	if err != nil {
		return err
	}
	for {
		a := x.attemptWithHedge(ctx, server)
		if a.err == nil && !a.isUnavailable() {
			return x.deliver(a)
		}
		next, ok := x.nextServer(ctx, a.err)
		if !ok && a.err == nil {
			return x.deliver(a) // no server left to try: pass on the 502, 503 or 504
		}
		a.close()
		if !ok {
			return x.adjustOutcome(a.err)
		}
		server = next
		x.backoff(ctx)
	}
}

// nextServer acquires a server for the next attempt, if another attempt is allowed. A nil err
// means that the last server responded 502, 503 or 504.
func (x *exchange) nextServer(ctx context.Context, err error) (server *Server, ok bool) {
	if err == nil {
		x.mayHaveRun = true
	}
	if !x.mayRetry(ctx, err) {
		return nil, false
	}
	return x.tryAcquireServer()
}

// backoff waits between attempts.
func (x *exchange) backoff(ctx context.Context) {
	t := time.NewTimer(retry.Backoff(x.attempts))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// adjustOutcome reports an unknown outcome if an earlier attempt may have run, even if the last
// one did not.
func (x *exchange) adjustOutcome(err error) error {
	var failure ErrRequest
	if x.mayHaveRun && errors.As(err, &failure) && failure.Outcome == OutcomeNotRun {
		failure.Outcome = OutcomeUnknown
		return failure
	}
	return err
}

// acquireServer acquires a server; while all are full it waits in the service's queue.
func (x *exchange) acquireServer(ctx context.Context) (server *Server, err error) {
	svc := x.route.service
	pick := func() (ok bool) {
		server, ok = x.tryAcquireServer()
		return ok
	}
	if x.g.settings.Limits && svc.anyOpen() {
		if svc.queue.Acquire(ctx, x.route.Class, pick) != nil {
			return nil, notRun(http.StatusServiceUnavailable, ReasonShed,
				"all backend servers of "+svc.name+" are full").withRetryAfter(defaultRetryAfter)
		}
		return server, nil
	}
	if !pick() {
		return nil, notRun(http.StatusServiceUnavailable, ReasonNoServer,
			"no backend server of "+svc.name+" takes work").withRetryAfter(defaultRetryAfter)
	}
	return server, nil
}

// context returns the context of the exchange. It is independent of the caller's connection if
// the request must run at most once, so that a request in progress is completed.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if x.route.Repeat == schema.RepeatOnce && x.buffered {
		ctx = context.WithoutCancel(ctx)
	}
	if x.isStreaming() {
		return context.WithCancel(ctx) // only the wait for the first byte is bounded, in roundTrip
	}
	return context.WithDeadline(ctx, x.start.Add(x.deadline()))
}

// deadline returns the time limit of the request: the route's or, if shorter, the caller's.
func (x *exchange) deadline() time.Duration {
	d := time.Duration(x.route.DeadlineMs) * time.Millisecond
	if ms, err := strconv.Atoi(x.r.Header.Get(HeaderDeadline)); err == nil && ms > 0 {
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	return d
}

// mayRetry reports whether another attempt is allowed by the deadline, the route and the retry
// budget. A nil err means that the last server responded 502, 503 or 504.
func (x *exchange) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || x.attempts >= maxAttempts {
		return false
	}
	var failure ErrRequest
	safeToResend := errors.As(err, &failure) && failure.Outcome == OutcomeNotRun && failure.Reason == ReasonConnect && x.buffered
	if !safeToResend && !x.isRetrySafe() {
		return false
	}
	if safeToResend && x.g.settings.Retries != schema.GatewaySettingsRetriesNever {
		return true // a refused connection costs the backend nothing
	}
	switch x.g.settings.Retries {
	case schema.GatewaySettingsRetriesAlways:
		return true
	case schema.GatewaySettingsRetriesBudget:
		return x.route.service.retries.TryWithdraw()
	}
	return false
}

// requestBody returns the body for one attempt. It is never nil and cannot be rewound, so that
// net/http does not resend the request by itself.
func (x *exchange) requestBody() io.ReadCloser {
	if x.buffered {
		return io.NopCloser(onlyReader{bytes.NewReader(x.body)})
	}
	return io.NopCloser(onlyReader{x.r.Body})
}

// onlyReader hides all methods of a reader but Read.
type onlyReader struct{ io.Reader }
