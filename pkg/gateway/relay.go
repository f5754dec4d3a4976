package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// prefixSize is how many bytes of a response are read before any is sent to the caller, so that
// a response that fails early can be reported as an error or retried.
const prefixSize = 64 << 10

var bufferPool = sync.Pool{New: func() any { b := make([]byte, prefixSize); return &b }}

// relay sends a response to the caller.
func (x *exchange) relay(a *attempt) error {
	x.writeHeader(a.resp, a.server)
	if x.isStreaming() {
		bufp := bufferPool.Get().(*[]byte)
		defer bufferPool.Put(bufp)
		return responseBroken(x.stream(a.resp.Body, *bufp))
	}
	_, err := x.w.Write((*a.prefix)[:a.prefixLen])
	if a.complete || x.r.Method == http.MethodHead {
		return nil // complete; the caller may be gone
	}
	if err != nil {
		return responseBroken(err)
	}
	_, err = io.CopyBuffer(onlyWriter{x.w}, onlyReader{a.resp.Body}, *a.prefix)
	return responseBroken(err)
}

// responseBroken wraps the error of a response that was partly sent to the caller.
func responseBroken(err error) error {
	if err == nil {
		return nil
	}
	return errResponseBroken{cause: ErrRequest{
		Outcome: OutcomeUnknown, Reason: ReasonBroken, Detail: "the answer broke off: " + err.Error(),
	}}
}

// readFull reads until buf is full or r fails; it returns io.EOF if r ended.
func readFull(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var m int
		m, err = r.Read(buf[n:])
		n += m
	}
	return n, err
}

// onlyWriter hides all methods of a writer but Write.
type onlyWriter struct{ io.Writer }

// writeHeader sends the status and headers of a response.
func (x *exchange) writeHeader(resp *http.Response, server *Server) {
	h := x.w.Header()
	copyHeaders(h, resp.Header)
	x.setGatewayHeaders(h) // overrides headers of the backend server
	h.Set(HeaderOutcome, string(OutcomeRan))
	h.Set(HeaderServer, server.Name)
	x.w.WriteHeader(resp.StatusCode)
}

// stream copies a body to the caller and flushes after each read.
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

// relayUpgrade copies data between the caller and the backend server after a protocol upgrade.
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
		_, _ = io.Copy(backend, buffered) // ends when either side closes
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
