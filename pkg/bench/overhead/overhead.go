// Package overhead measures the latency and CPU time that the request path adds. It
// sends the same requests to one backend server directly, through a minimal net/http
// proxy as a baseline, and through a gateway, alternating within one run.
package overhead

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/bench/backend"
	"github.com/gannetwell/gannetwell/pkg/gateway"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Options configures a measurement.
type Options struct {
	Rounds        int // measured on each route
	Requests      int // sent one after the other in a round, for latency
	Concurrency   int // callers of the throughput measurement
	ResponseBytes int // padding of a response
}

// DefaultOptions returns options for a run of a few seconds.
func DefaultOptions() Options {
	return Options{Rounds: 5, Requests: 3000, Concurrency: 32, ResponseBytes: 600}
}

// Result holds medians over the rounds.
type Result struct {
	DirectP50Us          float64 `json:"direct_p50_us"`
	BaselineP50Us        float64 `json:"hop_p50_us"`
	GatewayP50Us         float64 `json:"through_p50_us"`
	DirectP99Us          float64 `json:"direct_p99_us"`
	BaselineP99Us        float64 `json:"hop_p99_us"`
	GatewayP99Us         float64 `json:"through_p99_us"`
	AddedP50Us           float64 `json:"added_p50_us"`
	RPSPerCore           float64 `json:"rps_per_core"` // requests per CPU second of the gateway: the process's CPU time less that of the direct route
	DirectRPS            float64 `json:"direct_rps"`
	BaselineRPS          float64 `json:"hop_rps"`
	GatewayRPS           float64 `json:"through_rps"`
	GatewayToBaselineRPS float64 `json:"through_to_hop_rps"`
	CPUUsDirect          float64 `json:"cpu_us_direct"`  // CPU time of a request at caller and backend server
	CPUUsGateway         float64 `json:"cpu_us_through"` // same, with the gateway
	Cores                int     `json:"cores"`
	RequestsOfOneRound   int     `json:"requests_of_one_round"`
}

// noObserver is a backend.Observer that ignores all events.
type noObserver struct{}

func (noObserver) RequestStarted(string, string, string, time.Time) {}
func (noObserver) RequestEnded(string, string)                      {}
func (noObserver) Power(string, bool)                               {}
func (noObserver) Leaving(string, bool, time.Time)                  {}

// route is a way to reach the backend server, with the results of its rounds.
type route struct {
	address  string
	p50, p99 []float64 // latency in microseconds, by round
	rps, cpu []float64 // requests per second and CPU microseconds per request, by round
}

// Run measures all three routes.
func Run(o Options) (r Result, err error) {
	defer func() { err = errors.Wrap(err, "measure overhead") }()
	servers := backend.NewServers(noObserver{})
	defer servers.Close()
	address, err := servers.Add("w1")
	if err != nil {
		return r, err
	}
	baseline, stopBaseline, err := listenAndServe(baselineProxy(address))
	if err != nil {
		return r, err
	}
	defer stopBaseline()
	g, err := newGateway(address)
	if err != nil {
		return r, err
	}
	defer g.Close()
	viaGateway, stopGateway, err := listenAndServe(g)
	if err != nil {
		return r, err
	}
	defer stopGateway()
	routes := []*route{{address: address}, {address: baseline}, {address: viaGateway}}
	for range o.Rounds {
		for _, rt := range routes {
			if err := rt.runRound(o); err != nil {
				return r, err
			}
		}
	}
	return newResult(routes[0], routes[1], routes[2], o), nil
}

func newResult(direct, baseline, viaGateway *route, o Options) Result {
	r := Result{
		DirectP50Us: median(direct.p50), BaselineP50Us: median(baseline.p50), GatewayP50Us: median(viaGateway.p50),
		DirectP99Us: median(direct.p99), BaselineP99Us: median(baseline.p99), GatewayP99Us: median(viaGateway.p99),
		DirectRPS: median(direct.rps), BaselineRPS: median(baseline.rps), GatewayRPS: median(viaGateway.rps),
		CPUUsDirect: median(direct.cpu), CPUUsGateway: median(viaGateway.cpu),
		Cores: runtime.GOMAXPROCS(0), RequestsOfOneRound: o.Requests,
	}
	r.AddedP50Us = r.GatewayP50Us - r.DirectP50Us
	r.GatewayToBaselineRPS = r.GatewayRPS / r.BaselineRPS
	r.RPSPerCore = 1e6 / (r.CPUUsGateway - r.CPUUsDirect)
	return r
}

func median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2]
}

// listenAndServe serves a handler on a loopback port.
func listenAndServe(h http.Handler) (address string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), func() { _ = s.Close() }, nil
}

// newGateway returns a gateway with one backend server and the default settings.
func newGateway(address string) (*gateway.Gateway, error) {
	g := gateway.New("bench", "z", schema.GatewaySettings{
		Policy: schema.GatewaySettingsPolicyP2C, BufferBodyBytes: 64 << 10, Limits: true, Retries: schema.GatewaySettingsRetriesBudget, Hedging: true,
	})
	snap, err := table.Load(1, []table.StoredRow{
		{Key: table.Key{Kind: schema.KindZone, Name: "z"}, Value: table.MustValue(schema.Zone{})},
		{Key: table.Key{Kind: schema.KindRack, Name: "r"}, Value: table.MustValue(schema.Rack{Zone: "z"})},
		{Key: table.Key{Kind: schema.KindService, Name: "s"}, Value: table.MustValue(schema.Service{HealthPath: "/healthz", MaxInFlight: 1024})},
		{Key: table.Key{Kind: schema.KindPool, Name: "p"}, Value: table.MustValue(schema.Pool{Service: "s", Size: 1})},
		{Key: table.Key{Kind: schema.KindVM, Name: "w1"}, Value: table.MustValue(schema.VM{Rack: "r", Address: address, Pool: "p", Phase: schema.PhaseActive})},
		{Key: table.Key{Kind: schema.KindRoute, Name: "r"}, Value: table.MustValue(schema.Route{PathPrefix: "/", Service: "s", Class: schema.ClassInteractive, Repeat: schema.RepeatSafe, DeadlineMs: 5000, MaxBodyBytes: 1 << 20, MaxInFlight: 1024})},
	})
	if err != nil {
		return nil, err
	}
	g.SetTable(snap)
	g.SetReady(true)
	return g, nil
}

// baselineProxy returns a proxy that only forwards requests by net/http and copies responses.
func baselineProxy(address string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", address, ""
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// runRound measures latency with one caller, then throughput with many.
func (rt *route) runRound(o Options) error {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	defer c.CloseIdleConnections()
	want := backend.ResponseBody("bench", o.ResponseBytes)
	times := make([]float64, 0, o.Requests)
	for range o.Requests {
		start := time.Now()
		if err := sendRequest(c, rt.address, o.ResponseBytes, want); err != nil {
			return err
		}
		times = append(times, float64(time.Since(start).Nanoseconds())/1000)
	}
	slices.Sort(times)
	rt.p50 = append(rt.p50, times[len(times)/2])
	rt.p99 = append(rt.p99, times[len(times)*99/100])
	return rt.measureThroughput(c, o, want)
}

func (rt *route) measureThroughput(c *http.Client, o Options, want []byte) error {
	var wg sync.WaitGroup
	errs := make(chan error, o.Concurrency)
	cpu, start := cpuTime(), time.Now()
	perCaller := max(1, 4*o.Requests/o.Concurrency)
	for range o.Concurrency {
		wg.Go(func() {
			for range perCaller {
				if err := sendRequest(c, rt.address, o.ResponseBytes, want); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	n := float64(perCaller * o.Concurrency)
	rt.rps = append(rt.rps, n/time.Since(start).Seconds())
	rt.cpu = append(rt.cpu, float64((cpuTime()-cpu).Microseconds())/n)
	return nil
}

func sendRequest(c *http.Client, address string, size int, want []byte) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		return err
	}
	req.Header.Set(backend.HeaderID, "bench")
	req.Header.Set(backend.HeaderPaddingBytes, strconv.Itoa(size))
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if !bytes.Equal(got, want) {
		return errors.Errorf("status %s, unexpected response body of %d bytes", resp.Status, len(got))
	}
	return nil
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
