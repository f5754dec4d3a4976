package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// bufferAnswerBytes is the largest answer that is read whole before the caller
// is sent any of it, so that an answer which breaks off can still be reported
// or, where that is allowed, asked for again.
const bufferAnswerBytes = 64 << 10

const copyChunk = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyChunk); return &b }}

// relay sends an answer to the caller.
func (x *exchange) relay(resp *http.Response, server *Server) error {
	if n := resp.ContentLength; n >= 0 && n <= bufferAnswerBytes && !x.streams() {
		return x.relayWhole(resp, server, int(n))
	}
	x.answerHeader(resp, server)
	if err := x.copyAnswer(resp.Body); err != nil {
		return errAnswerBroken{cause: ErrRequest{
			Outcome: OutcomeUnknown, Reason: ReasonBroken, Detail: "the answer broke off: " + err.Error(),
		}}
	}
	return nil
}

// relayWhole reads a small answer before it sends it.
func (x *exchange) relayWhole(resp *http.Response, server *Server, n int) error {
	bufp := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(bufp)
	buf := *bufp
	if n > len(buf) {
		buf = make([]byte, n)
	}
	if x.r.Method == http.MethodHead {
		n = 0
	}
	if _, err := io.ReadFull(resp.Body, buf[:n]); err != nil {
		return ErrRequest{
			Status: http.StatusBadGateway, Outcome: OutcomeUnknown, Reason: ReasonBadAnswer,
			Detail: "the backend server's answer broke off: " + err.Error(),
		}
	}
	x.answerHeader(resp, server)
	_, _ = x.w.Write(buf[:n]) // a caller that is gone needs no answer
	return nil
}

// answerHeader sends the status and the headers of an answer.
func (x *exchange) answerHeader(resp *http.Response, server *Server) {
	h := x.w.Header()
	own := h.Clone()
	passOn(h, resp.Header)
	for name, values := range own {
		h[name] = values // ours win over the backend server's
	}
	h.Set(HeaderOutcome, string(OutcomeRan))
	h.Set(HeaderServer, server.Name)
	x.w.WriteHeader(resp.StatusCode)
}

// copyAnswer copies a body; a stream is flushed as it comes.
func (x *exchange) copyAnswer(body io.Reader) error {
	bufp := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(bufp)
	rc := http.NewResponseController(x.w)
	if x.streams() {
		if err := rc.Flush(); err != nil {
			return err
		}
	}
	for {
		n, readErr := body.Read(*bufp)
		if n > 0 {
			if _, err := x.w.Write((*bufp)[:n]); err != nil {
				return err
			}
			if x.streams() {
				if err := rc.Flush(); err != nil {
					return err
				}
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// relayUpgrade joins the caller's connection and the backend server's after both agreed to change protocol.
func (x *exchange) relayUpgrade(resp *http.Response) error {
	backend, ok := resp.Body.(io.ReadWriteCloser)
	if !ok {
		return ErrRequest{Status: http.StatusBadGateway, Outcome: OutcomeUnknown, Reason: ReasonUpgradeFailed, Detail: "the backend server's connection cannot be written to"}
	}
	h := x.w.Header()
	passOn(h, resp.Header)
	h.Set("Connection", "Upgrade")
	h.Set("Upgrade", resp.Header.Get("Upgrade"))
	h.Set(HeaderOutcome, string(OutcomeRan))
	x.w.WriteHeader(http.StatusSwitchingProtocols)
	caller, buffered, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		return ErrRequest{Status: http.StatusBadGateway, Outcome: OutcomeUnknown, Reason: ReasonUpgradeFailed, Detail: err.Error()}
	}
	defer func() { _ = caller.Close() }()
	done := make(chan struct{}, 2)
	go func() {
		_, _ = io.Copy(backend, buffered) // either end may close; that ends both
		done <- struct{}{}
	}()
	go func() {
		_, _ = io.Copy(caller, backend)
		done <- struct{}{}
	}()
	<-done
	_ = backend.Close()
	_ = caller.Close()
	<-done
	return nil
}
