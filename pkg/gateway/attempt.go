package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"
)

// pick claims a server that has not been tried; the caller releases it.
func (x *exchange) pick() (server *Server, ok bool) {
	svc := x.route.service
	for _, lenient := range []bool{false, true} {
		for range maxAttempts {
			server, ok = x.choose(svc, lenient)
			if !ok {
				break
			}
			if server.claim(lenient) {
				return server, true
			}
		}
	}
	return nil, false
}

// crossing is the extra time of another zone, as a cost in nanoseconds.
const crossing = float64(time.Millisecond)

// choose returns the best server by the policy, of the own zone unless another one's is better by more than the crossing.
func (x *exchange) choose(svc *service, lenient bool) (server *Server, ok bool) {
	skip := func(s *Server) bool { return x.wasTried(s) }
	if lenient {
		return x.chooseLenient(svc)
	}
	local, okLocal := x.g.policy.Pick(svc.local, skip)
	remote, okRemote := x.g.policy.Pick(svc.remote, skip)
	switch {
	case okLocal && okRemote && remote.Cost()+crossing < local.Cost():
		return remote, true
	case okLocal:
		return local, true
	}
	return remote, okRemote
}

// chooseLenient returns any server that no hard source closes: when soft sources
// close a whole service, they are more likely wrong than it is gone.
func (x *exchange) chooseLenient(svc *service) (server *Server, ok bool) {
	for _, servers := range [][]*Server{svc.local, svc.remote} {
		start := 0
		if len(servers) > 0 {
			start = int(x.began.UnixNano()) % len(servers)
		}
		for i := range servers {
			if s := servers[(start+i)%len(servers)]; s.usable(true) && !x.wasTried(s) {
				return s, true
			}
		}
	}
	return nil, false
}

func (x *exchange) wasTried(s *Server) bool {
	for _, t := range x.tried {
		if t == s {
			return true
		}
	}
	return false
}

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

// attempt hands the request to one server and relays its answer.
func (x *exchange) attempt(ctx context.Context, server *Server) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &trace{}
	req, err := x.outgoing(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), server)
	if err != nil {
		return err
	}
	began := time.Now()
	if x.streams() {
		timer := time.AfterFunc(x.deadline(), func() { cancel(context.DeadlineExceeded) })
		defer timer.Stop()
		resp, err := server.transport.RoundTrip(req)
		timer.Stop()
		return x.answered(ctx, server, t, began, resp, err)
	}
	resp, err := server.transport.RoundTrip(req)
	return x.answered(ctx, server, t, began, resp, err)
}

// answered takes the first part of an answer, or its absence.
func (x *exchange) answered(ctx context.Context, server *Server, t *trace, began time.Time, resp *http.Response, err error) error {
	if err != nil {
		return x.broken(ctx, server, t, err)
	}
	defer func() { _ = resp.Body.Close() }()
	server.observe(time.Since(began))
	if resp.StatusCode == http.StatusSwitchingProtocols {
		server.succeed()
		return x.relayUpgrade(resp)
	}
	err = x.relay(resp, server)
	var failure ErrRequest
	if errors.As(err, &failure) && failure.Reason != ReasonCallerGone {
		server.fail()
		return err
	}
	server.succeed()
	return err
}

// broken sorts the failure of an attempt that got no answer.
func (x *exchange) broken(ctx context.Context, server *Server, t *trace, cause error) error {
	outcome := t.giveUp()
	failure := ErrRequest{Status: http.StatusBadGateway, Outcome: outcome, Reason: ReasonBroken, Detail: "the exchange with the backend server broke: " + cause.Error()}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(cause, &tooLarge):
		failure.Status, failure.Reason = http.StatusRequestEntityTooLarge, ReasonTooLarge
		failure.Detail = "the body is larger than the route takes"
		return failure
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		failure.Status, failure.Reason = http.StatusGatewayTimeout, ReasonDeadline
		failure.Detail = "no answer within the deadline"
	case x.r.Context().Err() != nil:
		failure.Reason, failure.Detail = ReasonCallerGone, "the caller went away"
		return failure
	case t.conn == nil:
		failure.Reason, failure.Detail = ReasonConnect, "no connection to the backend server: "+cause.Error()
	}
	server.fail()
	if outcome == OutcomeNotRun {
		failure = failure.comeBack(comeBackSoon)
	}
	return failure
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
	if up := upgradeOf(x.r.Header); up != "" {
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
