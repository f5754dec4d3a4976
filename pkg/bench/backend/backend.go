package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The headers of a request to a simulated backend server.
const (
	HeaderID           = "Bench-Id"
	HeaderWorkUs       = "Bench-Work-Us" // microseconds
	HeaderPaddingBytes = "Bench-Bytes"   // padding in the response
	HeaderService      = "Bench-Service"
	// UpgradeProtocol is the value of the Upgrade header; the server echoes lines on the upgraded connection.
	UpgradeProtocol = "lesson"
)

const (
	healthPath      = "/healthz"
	maxPaddingBytes = 8 << 20
)

// Observer is notified of the requests at the servers and of their state. Calls are concurrent.
type Observer interface {
	RequestStarted(vm, service, id string, at time.Time)
	RequestEnded(vm, service string)
	Power(vm string, on bool)
	Leaving(vm string, leaving bool, at time.Time)
}

// Server is the backend server of one VM.
type Server struct {
	vm      string
	address string
	servers *Servers

	leaving   atomic.Bool
	inFlight  atomic.Int64
	delay     atomic.Int64 // nanoseconds added to each request
	unhealthy atomic.Bool  // answers requests with 503
	slots     chan struct{}

	mu       sync.Mutex
	http     *http.Server
	upgraded map[net.Conn]struct{} // hijacked connections, which http.Server does not close
}

// Servers holds the backend servers of all VMs; it implements fake.VMRuntime.
type Servers struct {
	observer Observer
	slots    int

	mu      sync.Mutex
	servers map[string]*Server
}

// Option configures Servers.
type Option func(*Servers)

// WithSlots bounds the requests that each server processes at once; more wait in a queue.
func WithSlots(n int) Option { return func(ss *Servers) { ss.slots = n } }

// unlimitedSlots is the default bound of concurrent requests, never reached in practice.
const unlimitedSlots = 1 << 16

// NewServers returns an empty set of servers.
func NewServers(observer Observer, opts ...Option) *Servers {
	ss := &Servers{observer: observer, slots: unlimitedSlots, servers: map[string]*Server{}}
	for _, o := range opts {
		o(ss)
	}
	return ss
}

// Add starts the server of a VM and returns its address.
func (ss *Servers) Add(vm string) (address string, err error) {
	s := &Server{vm: vm, address: "127.0.0.1:0", servers: ss, slots: make(chan struct{}, ss.slots)}
	if err := s.start(); err != nil {
		return "", err
	}
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.servers[vm] = s
	return s.address, nil
}

func (ss *Servers) get(vm string) *Server {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.servers[vm]
}

// Close stops all servers.
func (ss *Servers) Close() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, s := range ss.servers {
		s.stop()
	}
}

// Leaving implements fake.VMRuntime.
func (ss *Servers) Leaving(vm string, leaving bool) {
	if s := ss.get(vm); s != nil {
		s.leaving.Store(leaving)
		ss.observer.Leaving(vm, leaving, time.Now())
	}
}

// Power implements fake.VMRuntime.
func (ss *Servers) Power(vm string, on bool) {
	s := ss.get(vm)
	if s == nil {
		return
	}
	ss.observer.Power(vm, on)
	if !on {
		s.stop()
		return
	}
	s.leaving.Store(false)
	ss.observer.Leaving(vm, false, time.Now())
	if err := s.start(); err != nil {
		panic(fmt.Sprintf("restart backend server of %s: %v", vm, err))
	}
}

// InFlight implements fake.VMRuntime.
func (ss *Servers) InFlight(vm string) int {
	if s := ss.get(vm); s != nil {
		return int(s.inFlight.Load())
	}
	return 0
}

// SetDelay adds a delay to each request of a VM's server.
func (ss *Servers) SetDelay(vm string, d time.Duration) {
	if s := ss.get(vm); s != nil {
		s.delay.Store(int64(d))
	}
}

const (
	maxListenAttempts   = 50
	listenRetryInterval = 10 * time.Millisecond
)

// SetUnhealthy makes a VM's server answer ordinary requests with 503, or ends that.
func (ss *Servers) SetUnhealthy(vm string, unhealthy bool) {
	if s := ss.get(vm); s != nil {
		s.unhealthy.Store(unhealthy)
	}
}

// start listens on the server's address, which stays the same after a restart.
func (s *Server) start() (err error) {
	var ln net.Listener
	for range maxListenAttempts {
		if ln, err = net.Listen("tcp", s.address); err == nil {
			break
		}
		time.Sleep(listenRetryInterval)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = ln.Addr().String()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func(h *http.Server) { _ = h.Serve(ln) }(s.http)
	return nil
}

// stop closes the listener and all connections at once.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.http.Close()
	for conn := range s.upgraded {
		_ = conn.Close()
	}
}

// track registers an upgraded connection, so that stop closes it.
func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upgraded == nil {
		s.upgraded = map[net.Conn]struct{}{}
	}
	s.upgraded[conn] = struct{}{}
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.upgraded, conn)
	_ = conn.Close()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id, service := r.Header.Get(HeaderID), r.Header.Get(HeaderService)
	s.inFlight.Add(1)
	s.servers.observer.RequestStarted(s.vm, service, id, time.Now())
	defer func() {
		s.servers.observer.RequestEnded(s.vm, service)
		s.inFlight.Add(-1)
	}()
	switch {
	case r.Header.Get("Upgrade") == UpgradeProtocol:
		s.echoUpgraded(w)
	case r.Header.Get(HeaderPaddingBytes) == "":
		s.echoBody(w, r)
	default:
		s.respond(w, r, id)
	}
}

// respond waits for the work time of the request and sends the full response.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, id string) {
	_, _ = io.Copy(io.Discard, r.Body)
	if s.unhealthy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	us, _ := strconv.Atoi(r.Header.Get(HeaderWorkUs))
	n, _ := strconv.Atoi(r.Header.Get(HeaderPaddingBytes))
	if d := time.Duration(us)*time.Microsecond + time.Duration(s.delay.Load()); d > 0 {
		time.Sleep(d)
	}
	body := ResponseBody(id, min(n, maxPaddingBytes))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// ResponseBody returns the full response to a request: its ID, padding bytes, and a checksum of both.
func ResponseBody(id string, padding int) []byte {
	body := make([]byte, 0, len(id)+padding+18)
	body = append(body, id...)
	body = append(body, '\n')
	for i := range padding {
		body = append(body, 'a'+byte(i%26))
	}
	return fmt.Appendf(body, "%016x", xxhash.Sum64(body))
}

// echoBody echoes the request body line by line as it arrives.
func (s *Server) echoBody(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	lines := bufio.NewReader(r.Body)
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			if _, err := io.WriteString(w, line); err != nil {
				return
			}
			_ = rc.Flush()
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				panic(http.ErrAbortHandler)
			}
			return
		}
	}
}

// echoUpgraded upgrades the connection and echoes lines until the caller closes it.
func (s *Server) echoUpgraded(w http.ResponseWriter) {
	w.Header().Set("Connection", "Upgrade")
	w.Header().Set("Upgrade", UpgradeProtocol)
	w.WriteHeader(http.StatusSwitchingProtocols)
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	s.track(conn)
	defer s.untrack(conn)
	for {
		line, err := rw.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, line); err != nil {
			return
		}
	}
}
