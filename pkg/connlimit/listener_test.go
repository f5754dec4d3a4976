package connlimit

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

const (
	testConns = 8               // that a listener keeps open
	testCrowd = 3 * testConns   // connections
	testTime  = 2 * time.Minute // for an answer, however busy the machine is
)

// testServer serves HTTP on few connections; requests with a header "Wait" are answered when released.
type testServer struct {
	t       *testing.T
	address string
	waiting chan struct{} // gets one for each request that waits
	release chan struct{}
}

func startTestServer(t *testing.T) *testServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &testServer{t: t, address: ln.Addr().String(), waiting: make(chan struct{}, testCrowd), release: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: testTime}
	limited := New(ln, testConns, zerolog.Nop())
	limited.Attach(server)
	go func() { _ = server.Serve(limited) }() // returns when the test ends
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("Wait") != "" {
		s.waiting <- struct{}{}
		<-s.release
	}
	_, _ = w.Write(append([]byte("got "), body...))
}

// dial opens a connection and sends something.
func (s *testServer) dial(sent string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTime))
	_, err = io.WriteString(conn, sent)
	qt.Assert(s.t, err, qt.IsNil)
	return conn
}

// awaitBytes waits for an answer that begins on a connection.
func (s *testServer) awaitBytes(conn net.Conn) (text string, err error) {
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	return string(buf[:n]), err
}

const plainRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestCrowd checks that requests are answered beside connections without a whole request, also one that
// arrived before them and takes its time.
func TestCrowd(t *testing.T) {
	for name, sent := range map[string]string{
		"silent":    "",
		"half head": "GET / HTTP/1.1\r\nHost: a\r\n",
		"half body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc",
		"chunks":    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"idle":      plainRequest,
	} {
		t.Run(name, func(t *testing.T) {
			s := startTestServer(t)
			plain := s.dial("GET / HTTP/1.1\r\nHost: a\r\nWait: 1\r\n\r\n")
			<-s.waiting
			posted := s.dial("POST / HTTP/1.1\r\nHost: a\r\nWait: 1\r\nContent-Length: 3\r\n\r\nabc")
			<-s.waiting
			for range testCrowd {
				conn := s.dial(sent)
				if name == "idle" {
					_, err := s.awaitBytes(conn)
					qt.Assert(t, err, qt.IsNil)
				}
			}
			text, err := s.awaitBytes(s.dial(plainRequest))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, strings.HasPrefix(text, "HTTP/1.1 200"), qt.IsTrue)
			close(s.release)
			for _, conn := range []net.Conn{plain, posted} {
				text, err := s.awaitBytes(conn)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, strings.HasPrefix(text, "HTTP/1.1 200"), qt.IsTrue)
			}
		})
	}
}

// TestAllBusy checks that the newest connection is closed when all others have requests, and that there is
// room again when they are closed.
func TestAllBusy(t *testing.T) {
	s := startTestServer(t)
	var busy []net.Conn
	for range testConns {
		busy = append(busy, s.dial("GET / HTTP/1.1\r\nHost: a\r\nWait: 1\r\nConnection: close\r\n\r\n"))
		<-s.waiting
	}
	_, err := s.awaitBytes(s.dial(""))
	qt.Check(t, err, qt.IsNotNil)
	close(s.release)
	for _, conn := range busy {
		_, err := io.Copy(io.Discard, conn)
		qt.Check(t, err, qt.IsNil)
	}
	_, err = s.awaitBytes(s.dial(plainRequest))
	qt.Check(t, err, qt.IsNil)
}

// TestNewBesideIdle checks that a new connection is kept beside idle ones until its request comes.
func TestNewBesideIdle(t *testing.T) {
	s := startTestServer(t)
	idle := func() {
		_, err := s.awaitBytes(s.dial(plainRequest))
		qt.Assert(t, err, qt.IsNil)
	}
	for range testCrowd {
		idle()
	}
	late := s.dial("")
	idle()
	idle()
	_, err := io.WriteString(late, plainRequest)
	qt.Check(t, err, qt.IsNil)
	_, err = s.awaitBytes(late)
	qt.Check(t, err, qt.IsNil)
}

// TestSecureConnections checks that a request on a TLS connection stays beside a crowd.
func TestSecureConnections(t *testing.T) {
	waiting, release := make(chan struct{}, 1), make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		waiting <- struct{}{}
		<-release
	}))
	limited := New(s.Listener, testConns, zerolog.Nop())
	s.Listener = limited
	limited.Attach(s.Config)
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.StartTLS()
	defer s.Close()
	answered := make(chan error, 1)
	go func() {
		resp, err := s.Client().Get(s.URL)
		if err == nil {
			err = resp.Body.Close()
		}
		answered <- err
	}()
	<-waiting
	var crowd []net.Conn
	for range testCrowd {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		crowd = append(crowd, conn)
	}
	for _, conn := range crowd[:testCrowd-testConns] { // closed at the limit
		_ = conn.SetDeadline(time.Now().Add(testTime))
		_, err := conn.Read(make([]byte, 1))
		qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
	}
	close(release)
	qt.Check(t, <-answered, qt.IsNil)
}

// TestClosedCountsNoMore checks that what a closed connection does later changes nothing.
func TestClosedCountsNoMore(t *testing.T) {
	const limit = 2
	ln := New(endless{}, limit, zerolog.Nop())
	first, err := ln.Accept()
	qt.Assert(t, err, qt.IsNil)
	for range limit { // closes the first one
		_, err := ln.Accept()
		qt.Assert(t, err, qt.IsNil)
	}
	first.(*Conn).SetState(StateIdle)
	qt.Check(t, first.Close(), qt.IsNil)
	qt.Check(t, ln.open, qt.Equals, limit)
	qt.Check(t, ln.waiting[StateNew].Len(), qt.Equals, limit)
	qt.Check(t, ln.waiting[StateIdle].Len(), qt.Equals, 0)
}

// TestCloseWrite checks that a connection's sending direction can be closed.
func TestCloseWrite(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ln := New(inner, testConns, zerolog.Nop())
	defer ln.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer client.Close()
	conn, err := ln.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	qt.Assert(t, conn.(*Conn).CloseWrite(), qt.IsNil)
	_ = client.SetDeadline(time.Now().Add(testTime))
	_, err = client.Read(make([]byte, 1))
	qt.Check(t, err, qt.Equals, io.EOF)
}

// TestLimits checks that the limits leave descriptors and memory for everything else.
func TestLimits(t *testing.T) {
	const connKB = 16 // of memory for an idle connection
	for _, descriptors := range []int{200, 1024, 4100, maxDescriptor} {
		for _, memoryMB := range []int{32, 128, 284, 4096} {
			l := limitsFor(descriptors, memoryMB)
			qt.Check(t, l.Callers <= l.MaxCallers, qt.IsTrue, qt.Commentf("%+v", l))
			all := l.MaxCallers + l.Peers + l.Readiness + l.Operators
			qt.Check(t, all <= descriptors*3/4, qt.IsTrue, qt.Commentf("%+v of %d", l, descriptors))
			qt.Check(t, (l.Callers+l.Peers)*connKB <= memoryMB<<10/4, qt.IsTrue, qt.Commentf("%+v of %d MB", l, memoryMB))
		}
	}
	l, err := ForProcess(1 << 20)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, l.Callers >= minConns, qt.IsTrue)
}
