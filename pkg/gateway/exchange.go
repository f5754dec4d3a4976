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

	"github.com/gannetwell/gannetwell/pkg/gateway/once"
	"github.com/gannetwell/gannetwell/pkg/gateway/retry"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// maxAttempts bounds the servers that one request is tried at.
	maxAttempts = 3
	// responseGrace is what a caller may take to read an answer beyond the deadline.
	responseGrace = 10 * time.Second
	// defaultRetryAfter is the advice to callers of a busy or short-handed service.
	defaultRetryAfter = time.Second
)

// exchange is one caller's request and its answer.
type exchange struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	view  *view
	start time.Time
	id    string
	route *route

	body          []byte // the request's body when it was read whole
	buffered      bool   // body holds all of it
	reservedBytes int64  // bytes of the body counted against the memory of all
	tried         []*Server
	mayHaveRun    bool // some attempt's outcome is unknown: the request can no longer be called not run
	attempts      int
	claim         *once.Claim    // of the request's key
	savedResponse *once.Response // for repetitions of the key
}

// serve takes the request through admission, attempts and the answer.
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

// setGatewayHeaders sets what every answer carries.
func (x *exchange) setGatewayHeaders(h http.Header) {
	h.Set(HeaderRequestID, x.id)
	h.Set(HeaderEntry, x.g.name)
	h.Set(HeaderRevision, strconv.Itoa(x.view.revision))
	if x.g.stopping.Load() {
		h.Set("Connection", "close")
	}
}

// finish answers a failed request, logs it and counts it.
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
		panic(http.ErrAbortHandler) // the answer has begun: break the connection rather than end it as if whole
	}
	if !x.buffered && x.r.ContentLength != 0 {
		// net/http would read the body before it sends the answer, which a slow
		// caller could hold up; an answer that ends the connection goes at once.
		x.w.Header().Set("Connection", "close")
	}
	failure.write(x.w)
}

// triedNames are the servers of the attempts.
func (x *exchange) triedNames() (names []string) {
	for _, s := range x.tried {
		names = append(names, s.Name)
	}
	return names
}

// errResponseBroken is an answer that broke off after the caller had been sent a part of it.
type errResponseBroken struct{ cause ErrRequest }

// Error gives the cause.
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

// admit decides whether the request is taken at all; nothing has been handed on when it fails.
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
		_ = rc.EnableFullDuplex() // without it an answer ends the reading of the body
	} else {
		_ = rc.SetWriteDeadline(x.start.Add(x.deadline() + responseGrace)) // a caller that does not read holds nothing for ever
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

// checkRates refuses what a caller's address or a team sends too fast.
func (x *exchange) checkRates() error {
	host, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		host = x.r.RemoteAddr
	}
	if !x.g.callerRates.Allow(host, x.g.settings.CallerRequestsPerS, x.start) {
		return notRun(http.StatusTooManyRequests, ReasonRate, "the caller sends more requests a second than it may").withRetryAfter(defaultRetryAfter)
	}
	team := x.r.Header.Get(HeaderTeam)
	if team != "" && !x.g.teamRates.Allow(team, x.view.teams[team], x.start) {
		return notRun(http.StatusTooManyRequests, ReasonRate, "the team sends more requests a second than it may").withRetryAfter(defaultRetryAfter)
	}
	return nil
}

// readBody reads a small body whole, so that a slow or broken caller never reaches a backend server.
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

// isStreaming tells that bodies pass through as they come, both ways.
func (x *exchange) isStreaming() bool { return x.route.Class == schema.ClassLive }

// isRetrySafe tells that the route allows more than one run and that the body can be sent again.
func (x *exchange) isRetrySafe() bool {
	return x.route.Repeat == schema.RepeatSafe && x.buffered && !x.isStreaming()
}

// run makes attempts until one is answered or none may follow.
func (x *exchange) run() error {
	slots := x.route.slots
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
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
			return x.deliver(a) // the server's own refusal is the answer
		}
		a.close()
		if !ok {
			return x.adjustOutcome(a.err)
		}
		server = next
		x.backoff(ctx)
	}
}

// nextServer claims the server of the next attempt, if one may follow and there is
// one. A nil error stands for an answer by which the server says that it is not well.
func (x *exchange) nextServer(ctx context.Context, err error) (server *Server, ok bool) {
	if err == nil {
		x.mayHaveRun = true
	}
	if !x.mayRetry(ctx, err) {
		return nil, false
	}
	return x.claimServer()
}

// backoff waits a little before another attempt.
func (x *exchange) backoff(ctx context.Context) {
	t := time.NewTimer(retry.Backoff(x.attempts))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// adjustOutcome takes every attempt into account: the last one may not have run where an earlier one may have.
func (x *exchange) adjustOutcome(err error) error {
	var failure ErrRequest
	if x.mayHaveRun && errors.As(err, &failure) && failure.Outcome == OutcomeNotRun {
		failure.Outcome = OutcomeUnknown
		return failure
	}
	return err
}

// acquireServer claims a server; when all are full it waits in the queue of the service.
func (x *exchange) acquireServer(ctx context.Context) (server *Server, err error) {
	svc := x.route.service
	pick := func() (ok bool) {
		server, ok = x.claimServer()
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

// context bounds the exchange. A request that must not be repeated goes on when
// its caller is gone: what a backend server has begun, it finishes.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if x.route.Repeat == schema.RepeatOnce && x.buffered {
		ctx = context.WithoutCancel(ctx)
	}
	if x.isStreaming() {
		return context.WithCancel(ctx) // only the first byte is bounded, by the attempt
	}
	return context.WithDeadline(ctx, x.start.Add(x.deadline()))
}

// deadline is the route's, or the caller's when that is sooner.
func (x *exchange) deadline() time.Duration {
	d := time.Duration(x.route.DeadlineMs) * time.Millisecond
	if ms, err := strconv.Atoi(x.r.Header.Get(HeaderDeadline)); err == nil && ms > 0 {
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	return d
}

// mayRetry tells whether an attempt may be followed by another at another
// server: where that is truthful and allowed, and within the budget. A nil error
// stands for an answer by which the server says that it is not well.
func (x *exchange) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || x.attempts >= maxAttempts {
		return false
	}
	var failure ErrRequest
	notRun := errors.As(err, &failure) && failure.Outcome == OutcomeNotRun && failure.Reason == ReasonConnect && x.buffered
	if !notRun && !x.isRetrySafe() {
		return false
	}
	if notRun && x.g.settings.Retries != schema.GatewaySettingsRetriesNever {
		return true // a refused connection adds no work anywhere
	}
	switch x.g.settings.Retries {
	case schema.GatewaySettingsRetriesAlways:
		return true
	case schema.GatewaySettingsRetriesBudget:
		return x.route.service.retries.TryWithdraw()
	}
	return false
}

// requestBody returns the body of one attempt. It is never nil and cannot be
// rewound, so that net/http does not send the request again by itself.
func (x *exchange) requestBody() io.ReadCloser {
	if x.buffered {
		return io.NopCloser(onlyReader{bytes.NewReader(x.body)})
	}
	return io.NopCloser(onlyReader{x.r.Body})
}

// onlyReader hides every other method of a reader.
type onlyReader struct{ io.Reader }
