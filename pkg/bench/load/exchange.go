package load

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/bench/backend"
	"github.com/gannetwell/gannetwell/pkg/bench/checker"
	"github.com/gannetwell/gannetwell/pkg/gateway"
)

// methodOf returns the HTTP method of a route's requests.
func methodOf(s Stream) string {
	if s.Row.Method == "" {
		return http.MethodPost
	}
	return s.Row.Method
}

// newRequest returns a request whose body net/http cannot rewind, which rules out retries by the transport.
func newRequest(s Stream, r *checker.Request, body io.Reader) (req *http.Request, err error) {
	req, err = http.NewRequest(methodOf(s), "http://"+r.Entry+s.Row.PathPrefix+"/"+r.ID, io.NopCloser(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(gateway.HeaderRequestID, r.ID)
	req.Header.Set(backend.HeaderID, r.ID)
	req.Header.Set(backend.HeaderService, s.Row.Service)
	return req, nil
}

// exchange sends a request and classifies its response.
func (g *Generator) exchange(s Stream, r *checker.Request) {
	size := 0
	if methodOf(s) != http.MethodGet {
		size = s.BodyBytes
	}
	req, err := newRequest(s, r, bytes.NewReader(bytes.Repeat([]byte("x"), size)))
	if err != nil {
		setCutOff(r, err.Error())
		return
	}
	req.ContentLength = int64(size)
	req.Header.Set(backend.HeaderWorkUs, strconv.Itoa(s.WorkUs))
	req.Header.Set(backend.HeaderPaddingBytes, strconv.Itoa(s.ResponseBytes))
	resp, err := g.client.Do(req)
	if err != nil {
		setCutOff(r, err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	recordRevision(r, resp)
	switch {
	case err != nil:
		setCutOff(r, "response interrupted: "+err.Error())
	case recordFailure(r, resp):
	default:
		compareBody(r, body, backend.ResponseBody(r.ID, s.ResponseBytes))
	}
}

func setCutOff(r *checker.Request, detail string) { r.Result, r.Detail = checker.ResultCutOff, detail }

// recordRevision reads the table revision from a response.
func recordRevision(r *checker.Request, resp *http.Response) {
	r.Revision, _ = strconv.Atoi(resp.Header.Get(gateway.HeaderRevision))
}

// recordFailure classifies a response that is not a success and reports whether it was one.
func recordFailure(r *checker.Request, resp *http.Response) bool {
	outcome := gateway.Outcome(resp.Header.Get(gateway.HeaderOutcome))
	detail := resp.Header.Get(gateway.HeaderReason)
	switch outcome {
	case gateway.OutcomeNotRun:
		r.Result, r.Detail = checker.ResultNotRun, detail
	case gateway.OutcomeRan:
		if resp.StatusCode/100 == 2 || resp.StatusCode == http.StatusSwitchingProtocols {
			return false
		}
		r.Result, r.Detail = checker.ResultBackendError, resp.Status
	default:
		setCutOff(r, "outcome "+string(outcome)+" "+detail)
	}
	return true
}

// compareBody compares a response body with the expected one.
func compareBody(r *checker.Request, got, want []byte) {
	switch {
	case bytes.Equal(got, want):
		r.Result = checker.ResultComplete
	case len(got) < len(want) && bytes.HasPrefix(want, got):
		r.Result, r.Detail = checker.ResultTruncated, fmt.Sprintf("%d of %d bytes", len(got), len(want))
	default:
		r.Result, r.Detail = checker.ResultWrong, fmt.Sprintf("%d bytes that do not match the expected response", len(got))
	}
}

const (
	lineInterval   = 50 * time.Millisecond
	lineTimeout    = 5 * time.Second
	connectTimeout = 2 * time.Second
	headerTimeout  = 5 * time.Second
)

// exchangeLive runs a live exchange, alternating between a streamed body and an upgraded connection.
func (g *Generator) exchangeLive(s Stream, r *checker.Request) {
	if g.lastID.Add(1)%2 == 0 {
		exchangeUpgraded(s, r)
		return
	}
	g.exchangeStreamed(s, r)
}

// exchangeStreamed sends lines in a request body and expects each echoed in the response body.
func (g *Generator) exchangeStreamed(s Stream, r *checker.Request) {
	pr, pw := io.Pipe()
	defer func() { _ = pw.Close() }()
	req, err := newRequest(s, r, pr)
	if err != nil {
		setCutOff(r, err.Error())
		return
	}
	req.ContentLength = -1
	resp, err := (&http.Client{Transport: g.client.Transport}).Do(req)
	if err != nil {
		setCutOff(r, err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	recordRevision(r, resp)
	if recordFailure(r, resp) {
		return
	}
	echoed := bufio.NewReader(resp.Body)
	if !echoLines(s, r, pw, echoed) {
		return
	}
	_ = pw.Close()
	if rest, err := io.ReadAll(echoed); err != nil || len(rest) > 0 {
		setCutOff(r, fmt.Sprintf("live exchange did not end cleanly: %d extra bytes, error %v", len(rest), err))
	}
}

// echoLines sends lines for the stream's LiveDuration and reports whether each was echoed.
func echoLines(s Stream, r *checker.Request, w io.Writer, echoed *bufio.Reader) bool {
	end := time.Now().Add(s.LiveDuration)
	for n := 0; time.Now().Before(end); n++ {
		line := fmt.Sprintf("%s line %d\n", r.ID, n)
		if _, err := io.WriteString(w, line); err != nil {
			setCutOff(r, "send line: "+err.Error())
			return false
		}
		got, err := echoed.ReadString('\n')
		if err != nil {
			setCutOff(r, fmt.Sprintf("cut off at line %d: %v", n, err))
			return false
		}
		if got != line {
			r.Result, r.Detail = checker.ResultWrong, "unexpected line echoed: "+strings.TrimSpace(got)
			return false
		}
		time.Sleep(lineInterval)
	}
	r.Result = checker.ResultComplete
	return true
}

// exchangeUpgraded upgrades a dedicated connection and exchanges lines on it.
func exchangeUpgraded(s Stream, r *checker.Request) {
	conn, err := net.DialTimeout("tcp", r.Entry, connectTimeout)
	if err != nil {
		setCutOff(r, err.Error())
		return
	}
	defer func() { _ = conn.Close() }()
	req, err := newRequest(s, r, strings.NewReader(""))
	if err != nil {
		setCutOff(r, err.Error())
		return
	}
	req.Method, req.Body = http.MethodGet, nil
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", backend.UpgradeProtocol)
	_ = conn.SetDeadline(time.Now().Add(headerTimeout))
	if err := req.Write(conn); err != nil {
		setCutOff(r, err.Error())
		return
	}
	echoed := bufio.NewReader(conn)
	resp, err := http.ReadResponse(echoed, req)
	if err != nil {
		setCutOff(r, err.Error())
		return
	}
	recordRevision(r, resp)
	if recordFailure(r, resp) {
		return
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		setCutOff(r, "upgrade refused: "+resp.Status)
		return
	}
	_ = conn.SetDeadline(time.Now().Add(s.LiveDuration + lineTimeout))
	echoLines(s, r, conn, echoed)
}
