package httplimit

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// firstBodyBytes is the first size of a body's buffer, which doubles when it is full, in bytes.
const firstBodyBytes = 4 << 10

// ErrRefused reports a body that was not read to its end; nothing was done with it.
type ErrRefused struct{ Why Refusal }

// Error implements error.
func (e ErrRefused) Error() string {
	switch e.Why {
	case RefusalBody:
		return "the body is too large"
	case RefusalBodyTime:
		return "the body did not arrive in time"
	default:
		return "the bodies of other requests take all memory that there is for them"
	}
}

// bounded bounds the time of bodies, and answers requests that had to give way.
func (s *Server) bounded(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			if c := connOf(r.Context()); c != nil && !s.budget.act(c) {
				s.onRefusal(RefusalBudget)
				w.Header().Set("Connection", "close")
				w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			h.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(s.bodyTime)) // fails only for a connection that is closed
		h.ServeHTTP(w, r)
		_ = control.SetReadDeadline(time.Now().Add(unreadBodyTime))
	})
}

// retryAfterSeconds is when a client that is not served may try again.
const retryAfterSeconds = 1

// ReadBody reads the body of a request within limit bytes, the budget, and the deadline of the request's
// context. From then on the request is not interrupted. It returns an [ErrRefused] if a limit is met.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int) (raw []byte, err error) {
	control, c := http.NewResponseController(w), connOf(r.Context())
	if end, ok := r.Context().Deadline(); ok && (c == nil || time.Until(end) < c.server.bodyTime) {
		_ = control.SetReadDeadline(end) // fails only for a connection that is closed
	}
	if r.ContentLength > int64(limit) {
		err = ErrRefused{RefusalBody}
	} else {
		raw, err = readAll(r.Body, c, int(min(max(r.ContentLength+1, 1), firstBodyBytes)), limit)
	}
	if err == nil && c != nil && !c.server.budget.act(c) {
		err = ErrRefused{RefusalBudget}
	}
	err = c.explain(err)
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	return raw, nil
}

// readAll reads to the end of a body, with a buffer that grows within the budget.
func readAll(body io.Reader, c *conn, size, limit int) (raw []byte, err error) {
	held := 0
	defer func() {
		if err != nil && c != nil {
			c.server.budget.release(c, held)
		}
	}()
	if size <= 1 {
		size = firstBodyBytes
	}
	for {
		if raw, err = grow(raw, c, min(size, limit+1)); err != nil {
			return nil, err
		}
		held = cap(raw)
		for len(raw) < cap(raw) {
			n, err := body.Read(raw[len(raw):cap(raw)])
			raw = raw[:len(raw)+n]
			if err == io.EOF {
				return raw, nil
			}
			if err != nil {
				return nil, err
			}
		}
		if len(raw) > limit {
			return nil, ErrRefused{RefusalBody}
		}
		size = 2 * cap(raw)
	}
}

// grow returns a buffer of a size with the bytes of raw, reserved in the place of raw.
func grow(raw []byte, c *conn, size int) ([]byte, error) {
	if c != nil && !c.server.budget.reserve(c, size) {
		return nil, ErrRefused{RefusalBudget}
	}
	grown := make([]byte, len(raw), size)
	copy(grown, raw)
	if c != nil {
		c.server.budget.release(c, cap(raw))
	}
	return grown, nil
}

// explain returns the reason of a failed read, and counts it.
func (c *conn) explain(err error) error {
	if c == nil || err == nil {
		return err
	}
	var refused ErrRefused
	switch {
	case errors.As(err, &refused):
	case c.interrupted():
		refused = ErrRefused{RefusalBudget}
	case errors.Is(err, os.ErrDeadlineExceeded):
		refused = ErrRefused{RefusalBodyTime}
	default:
		return err
	}
	c.server.onRefusal(refused.Why)
	return refused
}

// Replace replaces the reservation of a body that was read by one of n bytes, for what was made of it.
func Replace(ctx context.Context, raw []byte, n int) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	if more := n - cap(raw); more > 0 && !c.server.budget.reserve(c, more) {
		c.server.onRefusal(RefusalBudget)
		return ErrRefused{RefusalBudget}
	}
	c.server.budget.release(c, max(0, cap(raw)-n))
	return nil
}
