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

// HeaderKey names a request that must run at most once, over all its repetitions.
const HeaderKey = "Idempotency-Key"

// HeaderReplayed marks an answer that was given before.
const HeaderReplayed = "Gannetwell-Replayed"

const maxKeyLen = 256

// hasKey tells that the request carries a key which the route heeds.
func (x *exchange) hasKey() bool {
	return x.g.claims != nil && x.route.Repeat == schema.RepeatOnce && x.r.Header.Get(HeaderKey) != ""
}

// claimKey claims the request's key; done tells that the first answer was given again.
func (x *exchange) claimKey(ctx context.Context) (done bool, err error) {
	key := x.r.Header.Get(HeaderKey)
	switch {
	case len(key) > maxKeyLen:
		return false, notRun(http.StatusBadRequest, ReasonBadHeader, "the key is longer than 256 bytes")
	case !x.buffered:
		return false, notRun(http.StatusRequestEntityTooLarge, ReasonTooLarge, "a request with a key needs a body of known length that the entry can read whole")
	}
	t, first, err := x.g.claims.Claim(ctx, once.NewKey(x.route.name, x.r.Header.Get("Authorization"), key), once.Digest(x.body))
	switch {
	case err != nil:
		return false, claimError(err)
	case first != nil:
		x.replay(first)
		return true, nil
	}
	x.claim = t
	return false, nil
}

// claimError tells the caller why a key was not claimed.
func claimError(err error) error {
	switch {
	case errors.As(err, new(once.ErrBodyMismatch)):
		return notRun(http.StatusUnprocessableEntity, ReasonKeyBody, err.Error())
	case errors.As(err, new(once.ErrClaimed)):
		return ErrRequest{Status: http.StatusConflict, Outcome: OutcomeUnknown, Reason: ReasonKeyTaken, Detail: err.Error()}
	}
	return notRun(http.StatusServiceUnavailable, ReasonNoClaim, err.Error()).withRetryAfter(defaultRetryAfter)
}

// adjustKeyedOutcome takes earlier requests with the same key into account: a
// repetition that was refused before its key was claimed did not run itself,
// but one before it may have, and its caller asks about them all.
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

// replay gives the first answer again.
func (x *exchange) replay(a *once.Response) {
	h := x.w.Header()
	maps.Copy(h, a.Header)
	h.Set(HeaderOutcome, string(OutcomeRan))
	h.Set(HeaderReplayed, "true")
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(a.Body) // a caller that is gone needs no answer
}

// finishClaim ends the claim by what became of the request.
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

// saveResponse holds a whole answer for repetitions.
func (x *exchange) saveResponse(a *attempt) {
	if x.claim == nil || !a.complete {
		return
	}
	header := http.Header{}
	copyHeaders(header, a.resp.Header)
	header.Set(HeaderServer, a.server.Name)
	x.savedResponse = &once.Response{Status: a.resp.StatusCode, Header: header, Body: slices.Clone((*a.prefix)[:a.prefixLen])}
}
