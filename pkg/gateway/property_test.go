package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/gateway"
	"github.com/gannetwell/gannetwell/pkg/gateway/once"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// behavior is how a backend server handles one attempt of a request.
type behavior string

const (
	responds              behavior = "answers"
	respondsLarge         behavior = "answers big"
	unavailable           behavior = "unwell"      // 503
	closesBeforeResponse  behavior = "cuts"        // runs the request, then closes the connection
	closesInResponse      behavior = "cuts answer" // closes the connection within the response
	closesInLargeResponse behavior = "cuts big"    // closes the connection after the prefix
	respondsLate          behavior = "sleeps"      // responds long after the deadline
)

var behaviors = []behavior{responds, responds, respondsLarge, unavailable, closesBeforeResponse, closesInResponse, closesInLargeResponse, respondsLate}

const (
	headerID   = "X-Id"
	headerPlan = "X-Plan" // comma-separated behaviors, one per attempt
	headerCut  = "X-Cut"  // length in bytes at which the response is truncated
)

// oracle records what the backend servers ran.
type oracle struct {
	mu       sync.Mutex
	attempts map[string]int
	problems []string
}

func (o *oracle) startAttempt(id string) (attempt int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts[id]++
	return o.attempts[id] - 1
}

func (o *oracle) ran(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.attempts[id]
}

func (o *oracle) recordProblem(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.problems = append(o.problems, fmt.Sprintf(format, args...))
}

// expectedBody returns the body of the correct response to a request.
func expectedBody(id string, big bool) []byte {
	n := 3
	if big {
		n = 40_000
	}
	return []byte(strings.Repeat(id+";", n))
}

// ServeHTTP implements every backend server.
func (o *oracle) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	plan := strings.Split(r.Header.Get(headerPlan), ",")
	planned := behavior(plan[min(o.startAttempt(id), len(plan)-1)])
	_, _ = io.Copy(io.Discard, r.Body)
	body := expectedBody(id, planned == respondsLarge || planned == closesInLargeResponse)
	cut, _ := strconv.Atoi(r.Header.Get(headerCut))
	switch planned {
	case unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case closesBeforeResponse:
		panic(http.ErrAbortHandler)
	case respondsLate:
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
		}
	case closesInResponse, closesInLargeResponse:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:min(len(body)-1, cut)])
		if planned == closesInLargeResponse {
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// mutation breaks one guarantee of the gateway, to check that the property detects it.
type mutation func(http.Handler) http.Handler

func unmodified(h http.Handler) http.Handler { return h }

// pathHarness runs two entries over one store with three backend servers.
type pathHarness struct {
	*oracle
	store    *fake.Platform
	gateways []*gateway.Gateway
	urls     []string
	keys     map[string]string // ID of the first request of each key
	nextID   int
	close    func()
}

func newPathHarness(mutate mutation) *pathHarness {
	h := &pathHarness{oracle: &oracle{attempts: map[string]int{}}, store: fake.New(fake.WithLimits(10_000, 10_000)), keys: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	closers := []func(){cancel}
	var addresses []string
	for range 3 {
		b := httptest.NewServer(h.oracle)
		closers = append(closers, b.Close)
		addresses = append(addresses, strings.TrimPrefix(b.URL, "http://"))
	}
	for i := range 2 {
		claims := once.New(h.store.View("z"), fmt.Sprint("entry-", i))
		go func() { _ = claims.Run(ctx) }()
		g := gateway.New(fmt.Sprint("entry-", i), "z", schema.GatewaySettings{
			BufferBodyBytes: 1 << 16, Limits: true, Retries: schema.GatewaySettingsRetriesAlways, Hedging: true,
		}, gateway.WithClaims(claims))
		g.SetTable(testTable(1, addresses...))
		g.SetReady(true)
		srv := httptest.NewServer(mutate(g))
		closers = append(closers, srv.Close, g.Close)
		h.gateways = append(h.gateways, g)
		h.urls = append(h.urls, srv.URL)
	}
	h.close = func() {
		for _, c := range closers {
			c()
		}
	}
	return h
}

// send sends one request and checks the reported outcome against what ran.
func (h *pathHarness) send(entry int, route, id, plan, key string, cut int) {
	req, err := http.NewRequest(http.MethodPost, h.urls[entry]+route, bytes.NewReader([]byte("body")))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Header.Set(headerID, id)
	req.Header.Set(headerPlan, plan)
	req.Header.Set(headerCut, strconv.Itoa(cut))
	req.Header.Set(gateway.HeaderDeadline, "60")
	if key != "" {
		req.Header.Set(gateway.HeaderKey, key)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	var body []byte
	var readErr error
	if err == nil {
		body, readErr = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	ran := h.ran(id)
	if route == "/once" && ran > 1 {
		h.recordProblem("%s ran %d times", id, ran)
	}
	if err != nil {
		return // without a response there is no outcome to check
	}
	outcome := gateway.Outcome(resp.Header.Get(gateway.HeaderOutcome))
	want := id
	if first, ok := h.keys[key]; ok && resp.Header.Get(gateway.HeaderReplayed) != "" {
		want = first
	}
	complete := bytes.Equal(body, expectedBody(want, false)) || bytes.Equal(body, expectedBody(want, true))
	switch {
	case outcome == gateway.OutcomeNotRun && ran > 0:
		h.recordProblem("%s is reported as not run but ran", id)
	case outcome == "":
		h.recordProblem("%s has no outcome, status %d", id, resp.StatusCode)
	case resp.StatusCode == http.StatusOK && readErr == nil && !complete:
		h.recordProblem("%s got %d bytes that are not the complete response", id, len(body))
	case resp.StatusCode == http.StatusOK && outcome != gateway.OutcomeRan:
		h.recordProblem("%s got a response but its outcome is %s", id, outcome)
	}
}

// pathMachine checks outcomes and responses under random requests, server states and store
// faults.
func pathMachine(t *rapid.T, mutate mutation) {
	h := newPathHarness(mutate)
	defer h.close()
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if len(h.problems) > 0 {
				t.Fatalf("%s", h.problems[0])
			}
		},
		"requests": func(t *rapid.T) {
			var wg sync.WaitGroup
			for range rapid.IntRange(1, 6).Draw(t, "n") {
				h.nextID++
				id := fmt.Sprintf("r%d", h.nextID)
				entry := rapid.IntRange(0, 1).Draw(t, "entry")
				route := rapid.SampledFrom([]string{"/safe", "/once"}).Draw(t, "route")
				var plan []string
				for range 3 {
					plan = append(plan, string(rapid.SampledFrom(behaviors).Draw(t, "behavior")))
				}
				cut := rapid.SampledFrom([]int{0, 1, 8, 9, 65_535, 65_536, 65_537, 100_000}).Draw(t, "cut")
				wg.Go(func() { h.send(entry, route, id, strings.Join(plan, ","), "", cut) })
			}
			wg.Wait()
		},
		"keyed requests": func(t *rapid.T) {
			key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
			if _, ok := h.keys[key]; !ok { // all repetitions of a key are one request
				h.nextID++
				h.keys[key] = fmt.Sprintf("r%d", h.nextID)
			}
			plan := string(rapid.SampledFrom(behaviors).Draw(t, "behavior"))
			var wg sync.WaitGroup
			for range rapid.IntRange(1, 4).Draw(t, "n") {
				entry := rapid.IntRange(0, 1).Draw(t, "entry")
				wg.Go(func() { h.send(entry, "/once", h.keys[key], plan, key, 5) })
			}
			wg.Wait()
		},
		"mark": func(t *rapid.T) {
			src := rapid.SampledFrom([]gateway.Source{gateway.SourceList, gateway.SourceLeaving, gateway.SourceHealth}).Draw(t, "source")
			h.gateways[rapid.IntRange(0, 1).Draw(t, "entry")].SetClosed(fmt.Sprintf("w%d", rapid.IntRange(1, 3).Draw(t, "vm")), src, rapid.Bool().Draw(t, "closed"))
		},
		"store": func(t *rapid.T) {
			h.store.SetRules(fake.Rule{Op: rest.OpCommit, Fault: rapid.SampledFrom(fake.Faults()).Draw(t, "fault"), DelayMs: 30, Count: rapid.IntRange(1, 3).Draw(t, "count")})
		},
	})
}

// TestPath checks that outcomes are true, responses complete and not mixed up, and requests
// with one run at most never run twice. It does not depend on timing.
func TestPath(t *testing.T) {
	prop.CheckRealTime(t, 25, func(rt *rapid.T) { pathMachine(rt, unmodified) })
}

// TestPathMutations breaks one guarantee at a time and expects the property to fail.
func TestPathMutations(t *testing.T) {
	for name, s := range map[string]mutation{
		"unknown outcome reported as not run": func(h http.Handler) http.Handler {
			return rewriteResponse(h, func(rec *httptest.ResponseRecorder) {
				if rec.Header().Get(gateway.HeaderOutcome) == string(gateway.OutcomeUnknown) {
					rec.Header().Set(gateway.HeaderOutcome, string(gateway.OutcomeNotRun))
				}
			})
		},
		"truncated responses": func(h http.Handler) http.Handler {
			return rewriteResponse(h, func(rec *httptest.ResponseRecorder) {
				if rec.Code == http.StatusOK {
					rec.Body.Truncate(rec.Body.Len() - 1)
					rec.Header().Del("Content-Length")
				}
			})
		},
		"swapped responses": func(h http.Handler) http.Handler {
			var mu sync.Mutex
			var last []byte
			return rewriteResponse(h, func(rec *httptest.ResponseRecorder) {
				mu.Lock()
				defer mu.Unlock()
				if rec.Code != http.StatusOK {
					return
				}
				mine := bytes.Clone(rec.Body.Bytes())
				if last != nil {
					rec.Body = bytes.NewBuffer(last)
					rec.Header().Del("Content-Length")
				}
				last = mine
			})
		},
		"requests are sent twice": func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				for _, out := range []http.ResponseWriter{httptest.NewRecorder(), w} {
					again := r.Clone(r.Context())
					again.Body = io.NopCloser(bytes.NewReader(body))
					again.Header.Del(gateway.HeaderKey)
					h.ServeHTTP(out, again)
				}
			})
		},
		"no outcome": func(h http.Handler) http.Handler {
			return rewriteResponse(h, func(rec *httptest.ResponseRecorder) { rec.Header().Del(gateway.HeaderOutcome) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, prop.FindsFailureRealTime(t, func(rt *rapid.T) { pathMachine(rt, s) }), qt.IsTrue)
		})
	}
}

// rewriteResponse lets f change each response before it is sent to the caller.
func rewriteResponse(h http.Handler, f func(*httptest.ResponseRecorder)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		f(rec)
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	})
}
