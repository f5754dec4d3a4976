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

// conduct is what a backend server does with one attempt of a request.
type conduct string

const (
	answers    conduct = "answers"
	answersBig conduct = "answers big"
	unwell     conduct = "unwell"      // 503
	cutsAtOnce conduct = "cuts"        // runs, then closes the connection
	cutsAnswer conduct = "cuts answer" // closes it inside the answer
	cutsBig    conduct = "cuts big"    // closes it after the first part
	sleeps     conduct = "sleeps"      // answers long after the deadline
)

var conducts = []conduct{answers, answers, answersBig, unwell, cutsAtOnce, cutsAnswer, cutsBig, sleeps}

const (
	headerID   = "X-Id"
	headerPlan = "X-Plan" // conducts of the attempts, by comma
	headerCut  = "X-Cut"  // byte of the answer at which it is cut
)

// oracle knows what each backend server ran.
type oracle struct {
	mu       sync.Mutex
	attempts map[string]int
	problems []string
}

func (o *oracle) began(id string) (attempt int) {
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

func (o *oracle) problem(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.problems = append(o.problems, fmt.Sprintf(format, args...))
}

// answerTo is the one right answer to a request.
func answerTo(id string, big bool) []byte {
	n := 3
	if big {
		n = 40_000
	}
	return []byte(strings.Repeat(id+";", n))
}

// ServeHTTP is every backend server.
func (o *oracle) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	plan := strings.Split(r.Header.Get(headerPlan), ",")
	does := conduct(plan[min(o.began(id), len(plan)-1)])
	_, _ = io.Copy(io.Discard, r.Body)
	body := answerTo(id, does == answersBig || does == cutsBig)
	cut, _ := strconv.Atoi(r.Header.Get(headerCut))
	switch does {
	case unwell:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case cutsAtOnce:
		panic(http.ErrAbortHandler)
	case sleeps:
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
		}
	case cutsAnswer, cutsBig:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:min(len(body)-1, cut)])
		if does == cutsBig {
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// sabotage breaks a promise between the gateway and its callers; none is the sound product.
type sabotage func(http.Handler) http.Handler

func none(h http.Handler) http.Handler { return h }

// pathWorld is two entries over one store and three backend servers.
type pathWorld struct {
	*oracle
	store    *fake.Platform
	gateways []*gateway.Gateway
	urls     []string
	keys     map[string]string // first request of each key
	next     int
	close    func()
}

func newPathWorld(s sabotage) *pathWorld {
	w := &pathWorld{oracle: &oracle{attempts: map[string]int{}}, store: fake.New(fake.WithLimits(10_000, 10_000)), keys: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	closers := []func(){cancel}
	var addresses []string
	for range 3 {
		b := httptest.NewServer(w.oracle)
		closers = append(closers, b.Close)
		addresses = append(addresses, strings.TrimPrefix(b.URL, "http://"))
	}
	for i := range 2 {
		book := once.New(w.store.View("z"), fmt.Sprint("entry-", i))
		go func() { _ = book.Run(ctx) }()
		g := gateway.New(fmt.Sprint("entry-", i), "z", schema.GatewaySettings{
			BufferBodyBytes: 1 << 16, Limits: true, Retries: schema.GatewaySettingsRetriesAlways, Hedging: true,
		}, gateway.WithBook(book))
		g.SetTable(rows(1, addresses...))
		g.SetReady(true)
		srv := httptest.NewServer(s(g))
		closers = append(closers, srv.Close, g.Close)
		w.gateways = append(w.gateways, g)
		w.urls = append(w.urls, srv.URL)
	}
	w.close = func() {
		for _, c := range closers {
			c()
		}
	}
	return w
}

// send sends one request and judges what its caller is told against what ran.
func (w *pathWorld) send(entry int, route, id, plan, key string, cut int) {
	req, err := http.NewRequest(http.MethodPost, w.urls[entry]+route, bytes.NewReader([]byte("body")))
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
	ran := w.ran(id)
	if route == "/once" && ran > 1 {
		w.problem("%s ran %d times", id, ran)
	}
	if err != nil {
		return // no word at all claims nothing
	}
	outcome := gateway.Outcome(resp.Header.Get(gateway.HeaderOutcome))
	want := id
	if first, ok := w.keys[key]; ok && resp.Header.Get(gateway.HeaderReplayed) != "" {
		want = first
	}
	whole := bytes.Equal(body, answerTo(want, false)) || bytes.Equal(body, answerTo(want, true))
	switch {
	case outcome == gateway.OutcomeNotRun && ran > 0:
		w.problem("%s is reported as not run but ran", id)
	case outcome == "":
		w.problem("%s has no outcome, status %d", id, resp.StatusCode)
	case resp.StatusCode == http.StatusOK && readErr == nil && !whole:
		w.problem("%s got %d bytes that are not its whole answer", id, len(body))
	case resp.StatusCode == http.StatusOK && outcome != gateway.OutcomeRan:
		w.problem("%s is answered but its outcome is %s", id, outcome)
	}
}

// pathMachine is the property of the request path.
func pathMachine(t *rapid.T, s sabotage) {
	w := newPathWorld(s)
	defer w.close()
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if len(w.problems) > 0 {
				t.Fatalf("%s", w.problems[0])
			}
		},
		"requests": func(t *rapid.T) {
			var wg sync.WaitGroup
			for range rapid.IntRange(1, 6).Draw(t, "n") {
				w.next++
				id := fmt.Sprintf("r%d", w.next)
				entry := rapid.IntRange(0, 1).Draw(t, "entry")
				route := rapid.SampledFrom([]string{"/safe", "/once"}).Draw(t, "route")
				var plan []string
				for range 3 {
					plan = append(plan, string(rapid.SampledFrom(conducts).Draw(t, "conduct")))
				}
				cut := rapid.SampledFrom([]int{0, 1, 8, 9, 65_535, 65_536, 65_537, 100_000}).Draw(t, "cut")
				wg.Go(func() { w.send(entry, route, id, strings.Join(plan, ","), "", cut) })
			}
			wg.Wait()
		},
		"keyed requests": func(t *rapid.T) {
			key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
			if _, ok := w.keys[key]; !ok { // all repetitions are one request
				w.next++
				w.keys[key] = fmt.Sprintf("r%d", w.next)
			}
			plan := string(rapid.SampledFrom(conducts).Draw(t, "conduct"))
			var wg sync.WaitGroup
			for range rapid.IntRange(1, 4).Draw(t, "n") {
				entry := rapid.IntRange(0, 1).Draw(t, "entry")
				wg.Go(func() { w.send(entry, "/once", w.keys[key], plan, key, 5) })
			}
			wg.Wait()
		},
		"mark": func(t *rapid.T) {
			src := rapid.SampledFrom([]gateway.Source{gateway.SourceList, gateway.SourceProbe, gateway.SourceHealth}).Draw(t, "source")
			w.gateways[rapid.IntRange(0, 1).Draw(t, "entry")].Mark(fmt.Sprintf("w%d", rapid.IntRange(1, 3).Draw(t, "vm")), src, rapid.Bool().Draw(t, "closed"))
		},
		"store": func(t *rapid.T) {
			w.store.SetRules(fake.Rule{Op: rest.OpCommit, Fault: rapid.SampledFrom(fake.Faults()).Draw(t, "fault"), DelayMs: 30, Count: rapid.IntRange(1, 3).Draw(t, "count")})
		},
	})
}

// TestPath proves outcomes, whole and own answers and at most once over real
// connections; it judges by what ran, never by time.
func TestPath(t *testing.T) {
	prop.CheckRealTime(t, 25, func(rt *rapid.T) { pathMachine(rt, none) })
}

// TestPathPlanted breaks each promise once, on purpose: the property must see it.
func TestPathPlanted(t *testing.T) {
	for name, s := range map[string]sabotage{
		"unknown is told as not run": func(h http.Handler) http.Handler {
			return rewrite(h, func(rec *httptest.ResponseRecorder) {
				if rec.Header().Get(gateway.HeaderOutcome) == string(gateway.OutcomeUnknown) {
					rec.Header().Set(gateway.HeaderOutcome, string(gateway.OutcomeNotRun))
				}
			})
		},
		"answers lose their end": func(h http.Handler) http.Handler {
			return rewrite(h, func(rec *httptest.ResponseRecorder) {
				if rec.Code == http.StatusOK {
					rec.Body.Truncate(rec.Body.Len() - 1)
					rec.Header().Del("Content-Length")
				}
			})
		},
		"answers are swapped": func(h http.Handler) http.Handler {
			var mu sync.Mutex
			var last []byte
			return rewrite(h, func(rec *httptest.ResponseRecorder) {
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
			return rewrite(h, func(rec *httptest.ResponseRecorder) { rec.Header().Del(gateway.HeaderOutcome) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, prop.FindsFailureRealTime(t, func(rt *rapid.T) { pathMachine(rt, s) }), qt.IsTrue)
		})
	}
}

// rewrite lets f change an answer before its caller gets it.
func rewrite(h http.Handler, f func(*httptest.ResponseRecorder)) http.Handler {
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
