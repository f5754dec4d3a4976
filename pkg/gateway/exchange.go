package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// maxAttempts bounds the servers that one request is tried at.
	maxAttempts = 3
	// comeBackSoon is the advice to callers of a busy or short-handed service.
	comeBackSoon = time.Second
)

// exchange is one caller's request and its answer.
type exchange struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	view  *view
	began time.Time
	id    string
	route *route

	body     []byte // the request's body when it was read whole
	buffered bool   // body holds all of it
	tried    []*Server
	attempts int
}

// serve takes the request through admission, attempts and the answer.
func (x *exchange) serve() {
	err := x.admit()
	if err == nil {
		err = x.run()
	}
	x.finish(err)
}

// finish answers a failed request, logs it and counts it.
func (x *exchange) finish(err error) {
	name, class := "", ""
	if x.route != nil {
		name, class = x.route.name, string(x.route.Class)
	}
	elapsed := time.Since(x.began)
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
	var broken errAnswerBroken
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

// errAnswerBroken is an answer that broke off after the caller had been sent a part of it.
type errAnswerBroken struct{ cause ErrRequest }

// Error gives the cause.
func (e errAnswerBroken) Error() string { return e.cause.Error() }

func asErrRequest(err error) ErrRequest {
	var failure ErrRequest
	var broken errAnswerBroken
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
		return notRun(http.StatusServiceUnavailable, ReasonStarting, "this entry is starting").comeBack(comeBackSoon)
	}
	x.route = x.view.match(x.r.Method, x.r.URL.Path)
	if x.route == nil {
		return notRun(http.StatusNotFound, ReasonNoRoute, "no route takes "+x.r.Method+" "+x.r.URL.Path)
	}
	if x.streams() {
		_ = http.NewResponseController(x.w).EnableFullDuplex() // without it an answer ends the reading of the body
	}
	limit := int64(x.route.MaxBodyBytes)
	if limit > 0 && x.r.ContentLength > limit {
		return notRun(http.StatusRequestEntityTooLarge, ReasonTooLarge,
			"the route takes bodies of at most "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if limit > 0 {
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	return x.readBody()
}

// readBody reads a small body whole, so that a slow or broken caller never reaches a backend server.
func (x *exchange) readBody() error {
	n := x.r.ContentLength
	if n == 0 {
		x.buffered = true
		return nil
	}
	if n < 0 || n > int64(x.g.settings.BufferBodyBytes) || x.streams() {
		return nil
	}
	x.body = make([]byte, n)
	if _, err := io.ReadFull(x.r.Body, x.body); err != nil {
		return notRun(http.StatusBadRequest, ReasonBadBody, "the request's body broke off")
	}
	x.buffered = true
	return nil
}

// streams tells that bodies pass through as they come, both ways.
func (x *exchange) streams() bool { return x.route.Class == schema.ClassLive }

// run makes attempts until one answers or none may follow.
func (x *exchange) run() error {
	select {
	case x.route.slots.used <- struct{}{}:
		defer func() { <-x.route.slots.used }()
	default:
		return notRun(http.StatusServiceUnavailable, ReasonBusy, "the route's requests in flight are at their limit").comeBack(comeBackSoon)
	}
	ctx, cancel := x.context()
	defer cancel()
	var last error
	for x.attempts < maxAttempts {
		server, ok := x.pick()
		if !ok {
			break
		}
		x.attempts++
		x.tried = append(x.tried, server)
		err := x.attempt(ctx, server)
		server.release()
		if err == nil {
			return nil
		}
		last = err
		if !x.mayRepeat(ctx, err) {
			return err
		}
	}
	if last != nil {
		return last
	}
	return notRun(http.StatusServiceUnavailable, ReasonNoServer,
		"no backend server of "+x.route.service.name+" takes work").comeBack(comeBackSoon)
}

// context bounds the exchange. A request that must not be repeated goes on when
// its caller is gone: what a backend server has begun, it finishes.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if x.route.Repeat == schema.RepeatOnce && x.buffered {
		ctx = context.WithoutCancel(ctx)
	}
	if x.streams() {
		return context.WithCancel(ctx) // only the first byte is bounded, by the attempt
	}
	return context.WithDeadline(ctx, x.began.Add(x.deadline()))
}

// deadline is the route's, or the caller's when that is sooner.
func (x *exchange) deadline() time.Duration {
	d := time.Duration(x.route.DeadlineMs) * time.Millisecond
	if ms, err := strconv.Atoi(x.r.Header.Get(HeaderDeadline)); err == nil && ms > 0 {
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	return d
}

// mayRepeat tells whether a failed attempt may be followed by another at another server.
func (x *exchange) mayRepeat(ctx context.Context, err error) bool {
	var failure ErrRequest
	if ctx.Err() != nil || !errors.As(err, &failure) {
		return false // out of time, or the answer has begun
	}
	if !x.buffered && failure.Outcome != OutcomeNotRun {
		return false // a part of the body is gone
	}
	return failure.Outcome == OutcomeNotRun || x.route.Repeat == schema.RepeatSafe
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
