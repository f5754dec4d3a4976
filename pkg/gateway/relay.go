package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// prefixSize is how much of an answer is read before the caller is sent any of
// it, so that one which breaks off there can still be reported or, where that
// is allowed, asked for again. Most answers are whole by then.
const prefixSize = 64 << 10

var bufferPool = sync.Pool{New: func() any { b := make([]byte, prefixSize); return &b }}

// relay sends an answer to the caller.
func (x *exchange) relay(a *attempt) error {
	x.writeHeader(a.resp, a.server)
	if x.isStreaming() {
		bufp := bufferPool.Get().(*[]byte)
		defer bufferPool.Put(bufp)
		return responseBroken(x.stream(a.resp.Body, *bufp))
	}
	_, err := x.w.Write((*a.prefix)[:a.prefixLen])
	if a.complete || x.r.Method == http.MethodHead {
		return nil // that was all; a caller that is gone needs no answer
	}
	if err != nil {
		return responseBroken(err)
	}
	_, err = io.CopyBuffer(onlyWriter{x.w}, onlyReader{a.resp.Body}, *a.prefix)
	return responseBroken(err)
}

// responseBroken is the error of an answer that the caller has been sent a part of.
func responseBroken(err error) error {
	if err == nil {
		return nil
	}
	return errResponseBroken{cause: ErrRequest{
		Outcome: OutcomeUnknown, Reason: ReasonBroken, Detail: "the answer broke off: " + err.Error(),
	}}
}

// readFull reads until the buffer is full; io.EOF tells that the source ended as it should.
func readFull(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var m int
		m, err = r.Read(buf[n:])
		n += m
	}
	return n, err
}

// onlyWriter hides every other method of a writer.
type onlyWriter struct{ io.Writer }

// writeHeader sends the status and the headers of an answer.
func (x *exchange) writeHeader(resp *http.Response, server *Server) {
	h := x.w.Header()
	copyHeaders(h, resp.Header)
	x.setGatewayHeaders(h) // ours win over the backend server's
	h.Set(HeaderOutcome, string(OutcomeRan))
	h.Set(HeaderServer, server.Name)
	x.w.WriteHeader(resp.StatusCode)
}

// stream copies a body and flushes it as it comes.
func (x *exchange) stream(body io.Reader, buf []byte) error {
	rc := http.NewResponseController(x.w)
	if err := rc.Flush(); err != nil {
		return err
	}
	for {
		n, readErr := body.Read(buf)
		if n > 0 {
			if _, err := x.w.Write(buf[:n]); err != nil {
				return err
			}
			if err := rc.Flush(); err != nil {
				return err
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
	copyHeaders(h, resp.Header)
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
