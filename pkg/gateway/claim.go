package gateway

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/gateway/once"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// HeaderKey is the request header with the idempotency key. Requests with the same key run at
// most once.
const HeaderKey = "Idempotency-Key"

// HeaderReplayed marks the saved response of an earlier request with the same key.
const HeaderReplayed = "Gannetwell-Replayed"

// maxKeyLen is the longest idempotency key accepted, in bytes.
const maxKeyLen = 256

// hasKey reports whether the request has an idempotency key on a route that requires one run at
// most.
func (x *exchange) hasKey() bool {
	return x.g.claims != nil && x.route.Repeat == schema.RepeatOnce && x.r.Header.Get(HeaderKey) != ""
}

// claimKey claims the idempotency key. If done is true, the saved response of an earlier
// request has been sent.
func (x *exchange) claimKey(ctx context.Context) (done bool, err error) {
	key := x.r.Header.Get(HeaderKey)
	switch {
	case len(key) > maxKeyLen:
		return false, notRun(http.StatusBadRequest, ReasonBadHeader, "the key is longer than 256 bytes")
	case !x.buffered:
		return false, notRun(http.StatusRequestEntityTooLarge, ReasonTooLarge, "a request with a key needs a body of known length that the entry can read whole")
	}
	c, first, err := x.g.claims.Claim(ctx, once.NewKey(x.route.name, x.r.Header.Get("Authorization"), key), once.Digest(x.body))
	switch {
	case err != nil:
		return false, claimError(err)
	case first != nil:
		x.replay(first)
		return true, nil
	}
	x.claim = c
	return false, nil
}

// claimError converts an error of [once.Claims.Claim] into an [ErrRequest].
func claimError(err error) error {
	switch {
	case errors.As(err, new(once.ErrBodyMismatch)):
		return notRun(http.StatusUnprocessableEntity, ReasonKeyBody, err.Error())
	case errors.As(err, new(once.ErrClaimed)):
		return ErrRequest{Status: http.StatusConflict, Outcome: OutcomeUnknown, Reason: ReasonKeyTaken, Detail: err.Error()}
	}
	return notRun(http.StatusServiceUnavailable, ReasonNoClaim, err.Error()).withRetryAfter(defaultRetryAfter)
}

// adjustKeyedOutcome reports an unknown outcome for a request that failed before its key was
// claimed: this request did not run, but an earlier one with the same key may have.
func (x *exchange) adjustKeyedOutcome(err error) error {
	var failure ErrRequest
	if x.route == nil || !x.hasKey() || x.claim != nil || !errors.As(err, &failure) {
		return err
	}
	if failure.Outcome == OutcomeNotRun && failure.Reason != ReasonKeyBody {
		failure.Outcome = OutcomeUnknown
		failure.Detail += " (this one did not run; an earlier one with its key may have: send it again with the key)"
	}
	return failure
}

// replay sends the saved response of an earlier request with the same key.
func (x *exchange) replay(resp *once.Response) {
	h := x.w.Header()
	maps.Copy(h, resp.Header)
	h.Set(HeaderOutcome, string(OutcomeRan))
	h.Set(HeaderReplayed, "true")
	x.w.WriteHeader(resp.Status)
	_, _ = x.w.Write(resp.Body) // the caller may be gone
}

// finishClaim records the result of the request, or releases the key if the request did not
// run.
func (x *exchange) finishClaim(err error) {
	if x.claim == nil {
		return
	}
	if err != nil && asErrRequest(err).Outcome == OutcomeNotRun {
		x.g.claims.Release(x.claim)
		return
	}
	x.g.claims.Finish(x.claim, x.savedResponse)
}

// saveResponse keeps a complete response for later requests with the same key.
func (x *exchange) saveResponse(a *attempt) {
	if x.claim == nil || !a.complete {
		return
	}
	header := http.Header{}
	copyHeaders(header, a.resp.Header)
	header.Set(HeaderServer, a.server.Name)
	x.savedResponse = &once.Response{Status: a.resp.StatusCode, Header: header, Body: slices.Clone((*a.prefix)[:a.prefixLen])}
}
