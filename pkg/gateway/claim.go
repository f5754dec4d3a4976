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

// keyed tells that the request carries a key which the route heeds.
func (x *exchange) keyed() bool {
	return x.g.book != nil && x.route.Repeat == schema.RepeatOnce && x.r.Header.Get(HeaderKey) != ""
}

// claim claims the request's key; done tells that the first answer was given again.
func (x *exchange) claim(ctx context.Context) (done bool, err error) {
	key := x.r.Header.Get(HeaderKey)
	switch {
	case len(key) > maxKeyLen:
		return false, notRun(http.StatusBadRequest, ReasonBadHeader, "the key is longer than 256 bytes")
	case !x.buffered:
		return false, notRun(http.StatusRequestEntityTooLarge, ReasonTooLarge, "a request with a key needs a body of known length that the entry can read whole")
	}
	t, first, err := x.g.book.Claim(ctx, once.NewKey(x.route.name, x.r.Header.Get("Authorization"), key), once.Digest(x.body))
	switch {
	case err != nil:
		return false, claimError(err)
	case first != nil:
		x.replay(first)
		return true, nil
	}
	x.ticket = t
	return false, nil
}

// claimError tells the caller why a key was not claimed.
func claimError(err error) error {
	switch {
	case errors.As(err, new(once.ErrOtherBody)):
		return notRun(http.StatusUnprocessableEntity, ReasonKeyBody, err.Error())
	case errors.As(err, new(once.ErrTaken)):
		return ErrRequest{Status: http.StatusConflict, Outcome: OutcomeUnknown, Reason: ReasonKeyTaken, Detail: err.Error()}
	}
	return notRun(http.StatusServiceUnavailable, ReasonNoClaim, err.Error()).comeBack(comeBackSoon)
}

// truthfulOfKey takes earlier requests with the same key into account: a
// repetition that was refused before its key was claimed did not run itself,
// but one before it may have, and its caller asks about them all.
func (x *exchange) truthfulOfKey(err error) error {
	var failure ErrRequest
	if x.route == nil || !x.keyed() || x.ticket != nil || !errors.As(err, &failure) {
		return err
	}
	if failure.Outcome == OutcomeNotRun && failure.Reason != ReasonKeyBody {
		failure.Outcome = OutcomeUnknown
		failure.Detail += " (this one did not run; an earlier one with its key may have: send it again with the key)"
	}
	return failure
}

// replay gives the first answer again.
func (x *exchange) replay(a *once.Answer) {
	h := x.w.Header()
	maps.Copy(h, a.Header)
	h.Set(HeaderOutcome, string(OutcomeRan))
	h.Set(HeaderReplayed, "true")
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(a.Body) // a caller that is gone needs no answer
}

// settleClaim ends the claim by what became of the request.
func (x *exchange) settleClaim(err error) {
	if x.ticket == nil {
		return
	}
	if err != nil && asErrRequest(err).Outcome == OutcomeNotRun {
		x.g.book.GiveBack(x.ticket)
		return
	}
	x.g.book.Finish(x.ticket, x.kept)
}

// keep holds a whole answer for repetitions.
func (x *exchange) keep(a *attempt) {
	if x.ticket == nil || !a.whole {
		return
	}
	header := http.Header{}
	passOn(header, a.resp.Header)
	header.Set(HeaderServer, a.server.Name)
	x.kept = &once.Answer{Status: a.resp.StatusCode, Header: header, Body: slices.Clone((*a.first)[:a.n])}
}
