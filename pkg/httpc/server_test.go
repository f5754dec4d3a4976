package httpc_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gannetwell/gannetwell/pkg/bench/silence"
)

// server responds to requests as scripted.
type server struct {
	ln *silence.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	lines []string // of the response; "pause 300ms" waits
	got   []string
}

func newServer(t *testing.T) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{ln: silence.Wrap(ln), conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() { _ = ln.Close(); s.closeAll() })
	go func() {
		for {
			c, err := s.ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) address() string { return s.ln.Addr().String() }

func (s *server) set(lines []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = lines
}

func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
		delete(s.conns, c)
	}
	time.Sleep(20 * time.Millisecond) // until the client has seen the close
}

// received prints the requests received since the last call.
func (s *server) received() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	got := s.got
	s.got = nil
	sort.Strings(got)
	return strings.Join(got, "\n") + "\n"
}

func (s *server) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.got = append(s.got, fmt.Sprintf("%s %s %s boot=%s %s", r.Method, r.RequestURI, r.Header.Get("Content-Type"), r.Header.Get("Expect-Boot"), body))
		lines := s.lines
		s.mu.Unlock()
		s.respond(c, lines)
	}
}

func (s *server) respond(c net.Conn, lines []string) {
	for _, l := range lines {
		if pause, ok := strings.CutPrefix(l, "pause "); ok {
			d, _ := time.ParseDuration(pause)
			time.Sleep(d)
			continue
		}
		if l == "close" {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(strings.ReplaceAll(l, `\r`, "\r"), `\n`, "\n"))
	}
}
