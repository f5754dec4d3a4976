package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells whether a request ran on a backend server.
type Outcome string

// The possible outcomes.
const (
	OutcomeNotRun  Outcome = "not-run" // no byte was sent to a backend server
	OutcomeRan     Outcome = "ran"     // a backend server responded
	OutcomeUnknown Outcome = "unknown" // the request was sent but no complete response arrived
)

// Headers exchanged with callers and backend servers.
const (
	HeaderOutcome   = "Gannetwell-Outcome"     // response: the Outcome
	HeaderRequestID = "Gannetwell-Request-Id"  // both: ID of the request
	HeaderRevision  = "Gannetwell-Revision"    // response: table revision in use
	HeaderServer    = "Gannetwell-Server"      // response: name of the backend server's VM
	HeaderReason    = "Gannetwell-Reason"      // response: the Reason of a failure
	HeaderDeadline  = "Gannetwell-Deadline-Ms" // request: time left, in milliseconds
	HeaderEntry     = "Gannetwell-Entry"       // response: name of the entry
	HeaderTeam      = "Gannetwell-Team"        // request: team of the caller, whose rate limit applies
	HeaderRoom      = "Gannetwell-Room"        // request: affinity key (room); requests of one room go to the same backend server
)

// Reason names why a request failed, in headers, logs and metrics.
type Reason string

// The reasons for failure.
const (
	ReasonStarting      Reason = "starting"           // the entry is not ready
	ReasonNoRoute       Reason = "no-route"           // no route matches
	ReasonTooLarge      Reason = "body-too-large"     // the body exceeds the route's limit
	ReasonBadBody       Reason = "bad-body"           // the body was incomplete or too slow
	ReasonBadHeader     Reason = "bad-header"         // a request header is invalid
	ReasonBusy          Reason = "too-many-in-flight" // the route or the body memory is at its limit
	ReasonRate          Reason = "rate"               // a rate limit is exceeded
	ReasonShed          Reason = "shed"               // no backend server had capacity in time
	ReasonKeyTaken      Reason = "key-taken"          // the idempotency key was claimed before
	ReasonKeyBody       Reason = "key-other-body"     // the idempotency key was used with another body
	ReasonNoClaim       Reason = "no-claim"           // the idempotency key could not be claimed
	ReasonNoServer      Reason = "no-server"          // no backend server accepts requests
	ReasonConnect       Reason = "connect-failed"     // connecting to the backend server failed
	ReasonBroken        Reason = "exchange-broken"    // the connection to the backend server failed
	ReasonBadResponse   Reason = "bad-answer"         // the response was invalid or truncated
	ReasonDeadline      Reason = "deadline"           // no response within the deadline
	ReasonCallerGone    Reason = "caller-gone"        // the caller closed the connection
	ReasonUpgradeFailed Reason = "upgrade-failed"     // the protocol upgrade failed
)

// ErrRequest reports a failed request with everything that its response contains.
type ErrRequest struct {
	Status     int // HTTP status
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // advised delay before a retry, 0 for none
}

// Error returns the reason, outcome and detail.
func (e ErrRequest) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
}

// notRun returns the error of a request that was not sent to a backend server.
func notRun(status int, reason Reason, detail string) ErrRequest {
	return ErrRequest{Status: status, Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// withRetryAfter sets the advised delay before a retry.
func (e ErrRequest) withRetryAfter(d time.Duration) ErrRequest {
	e.RetryAfter = d
	return e
}

// write sends the error response.
func (e ErrRequest) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderOutcome, string(e.Outcome))
	h.Set(HeaderReason, string(e.Reason))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status)
	_, _ = fmt.Fprintln(w, e.Error()) // the caller may be gone
}
