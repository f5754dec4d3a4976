package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells whether a request ran at a backend server.
type Outcome string

// The outcomes.
const (
	OutcomeNotRun  Outcome = "not-run" // no byte reached a backend server
	OutcomeRan     Outcome = "ran"     // a backend server answered
	OutcomeUnknown Outcome = "unknown" // it was handed on and no whole answer came
)

// The headers of the interface to callers and backend servers.
const (
	HeaderOutcome   = "Gannetwell-Outcome"
	HeaderRequestID = "Gannetwell-Request-Id"
	HeaderRevision  = "Gannetwell-Revision"
	HeaderServer    = "Gannetwell-Server"
	HeaderReason    = "Gannetwell-Reason"
	HeaderDeadline  = "Gannetwell-Deadline-Ms"
	HeaderEntry     = "Gannetwell-Entry"
	HeaderTeam      = "Gannetwell-Team"
	HeaderRoom      = "Gannetwell-Room"
)

// Reason names why a request failed, for headers, logs and metrics.
type Reason string

// The reasons.
const (
	ReasonStarting      Reason = "starting"
	ReasonNoRoute       Reason = "no-route"
	ReasonTooLarge      Reason = "body-too-large"
	ReasonBadBody       Reason = "bad-body"
	ReasonBadHeader     Reason = "bad-header"
	ReasonBusy          Reason = "too-many-in-flight"
	ReasonRate          Reason = "rate"
	ReasonShed          Reason = "shed"
	ReasonKeyTaken      Reason = "key-taken"
	ReasonKeyBody       Reason = "key-other-body"
	ReasonNoClaim       Reason = "no-claim"
	ReasonNoServer      Reason = "no-server"
	ReasonConnect       Reason = "connect-failed"
	ReasonBroken        Reason = "exchange-broken"
	ReasonBadAnswer     Reason = "bad-answer"
	ReasonDeadline      Reason = "deadline"
	ReasonCallerGone    Reason = "caller-gone"
	ReasonUpgradeFailed Reason = "upgrade-failed"
)

// ErrRequest is a request that failed, with all that its caller is told.
type ErrRequest struct {
	Status     int
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // when to come back, 0 for no advice
}

// Error gives reason, outcome and detail.
func (e ErrRequest) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
}

// notRun is an error of a request that was never handed on.
func notRun(status int, reason Reason, detail string) ErrRequest {
	return ErrRequest{Status: status, Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// withRetryAfter adds the advice when to try again.
func (e ErrRequest) withRetryAfter(d time.Duration) ErrRequest {
	e.RetryAfter = d
	return e
}

// write answers the caller with the error.
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
	_, _ = fmt.Fprintln(w, e.Error()) // a caller that is gone needs no answer
}
