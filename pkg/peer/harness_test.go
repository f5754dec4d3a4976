package peer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// allLinks is the number of links that a server keeps open.
	allLinks = 1024
	// crowdLinks is the number of links of a crowd that sends little.
	crowdLinks = 1200
	// memoryBound limits the heap of a server beside a crowd that sends much, in bytes.
	memoryBound = 4 * peer.MaxFrame
	// largeLinks is the number of links of such a crowd.
	largeLinks = 64
	// largePart is what each of them sends or asks for, in bytes.
	largePart = peer.MaxFrame / 4
)

// pipeListener accepts the other ends of pipes, and fails first as often as told.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	failures int
	err      error
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	if l.failures > 0 {
		l.failures--
		l.mu.Unlock()
		return nil, l.err
	}
	l.mu.Unlock()
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns a connection to the listener.
func (l *pipeListener) dial() (net.Conn, error) {
	mine, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return mine, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// lineCounter counts the lines that a server logs.
type lineCounter struct{ n atomic.Int64 }

// Write implements io.Writer.
func (l *lineCounter) Write(p []byte) (n int, err error) {
	l.n.Add(int64(bytes.Count(p, []byte("\n"))))
	return len(p), nil
}

// crowdTest is a server of calls or of requests with links that don't behave.
type crowdTest struct {
	t      *testing.T
	ln     *pipeListener
	log    lineCounter
	served chan error
	ended  context.CancelFunc
	opened []net.Conn
}

// startCalls serves calls with a handler.
func startCalls(t *testing.T, ln *pipeListener, h peer.CallHandler) *crowdTest {
	s := &crowdTest{t: t, ln: ln, served: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	s.ended = cancel
	server := peer.NewCallServer(ln, h, zerolog.New(&s.log))
	go func() { s.served <- server.Serve(ctx) }()
	return s
}

// startRequests serves requests of authenticated peers with a handler.
func startRequests(t *testing.T, ln *pipeListener, h peer.Handler) *crowdTest {
	s := &crowdTest{t: t, ln: ln, served: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	s.ended = cancel
	server := peer.NewServer(ln, secret, h)
	go func() { s.served <- server.Serve(ctx) }()
	return s
}

// stop ends the server and the crowd.
func (s *crowdTest) stop() {
	s.ended()
	qt.Check(s.t, <-s.served, qt.IsNil)
	for _, c := range s.opened {
		_ = c.Close()
	}
	time.Sleep(time.Minute) // no time passes after the test
}

// open opens a link of the crowd.
func (s *crowdTest) open() net.Conn {
	c, err := s.ln.dial()
	qt.Assert(s.t, err, qt.IsNil)
	s.opened = append(s.opened, c)
	return c
}

// closedOnes returns the number of the crowd's links that the server has closed.
func (s *crowdTest) closedOnes() (n int) {
	for _, c := range s.opened {
		if s.isClosed(c) {
			n++
		}
	}
	return n
}

// isClosed reports whether the server has closed a link; it discards what came on it.
func (s *crowdTest) isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := io.Copy(io.Discard, c)
	return err == nil
}

// callOn makes a call on a link.
func callOn(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	if _, err := peer.WriteFrame(c, &schema.Call{Kind: schema.CallKindPing}); err != nil {
		return err
	}
	var reply schema.CallReply
	if _, err := peer.ReadFrame(c, &reply); err != nil {
		return err
	}
	if reply.Outcome != schema.CallOutcomeOk {
		return errors.Errorf("outcome %s", reply.Outcome)
	}
	return nil
}

// checkServed checks that a new peer gets an answer.
func (s *crowdTest) checkServed() {
	s.t.Helper()
	c, err := s.ln.dial()
	qt.Assert(s.t, err, qt.IsNil)
	defer c.Close()
	qt.Check(s.t, callOn(c), qt.IsNil)
}

// checkMemory checks the heap of the process.
func (s *crowdTest) checkMemory() {
	s.t.Helper()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	qt.Check(s.t, m.HeapAlloc < memoryBound, qt.IsTrue, qt.Commentf("%d bytes", m.HeapAlloc))
}

func answerOk(context.Context, *schema.Call) *schema.CallReply {
	return &schema.CallReply{Outcome: schema.CallOutcomeOk}
}

func answerRequest(context.Context, *schema.PeerRequest) *schema.PeerReply {
	return &schema.PeerReply{}
}
