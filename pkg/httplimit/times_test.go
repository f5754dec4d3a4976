package httplimit_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/httplimit"
)

// lateListener accepts connections of which a read may end late, and counts those closed for writing.
type lateListener struct {
	net.Listener
	f *fixture
}

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: conn.(*net.TCPConn), f: l.f}, nil
}

type lateConn struct {
	*net.TCPConn
	f       *fixture
	aborted atomic.Bool // the library ends a read by a deadline in the past
}

func (c *lateConn) SetReadDeadline(t time.Time) error {
	c.aborted.Store(!t.IsZero() && t.Unix() <= 1)
	return c.TCPConn.SetReadDeadline(t)
}

func (c *lateConn) CloseWrite() error {
	err := c.TCPConn.CloseWrite()
	if err == nil {
		c.f.mu.Lock()
		defer c.f.mu.Unlock()
		c.f.halfClosed++
	}
	return err
}

func (c *lateConn) Read(p []byte) (n int, err error) {
	n, err = c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.aborted.Load() {
		select {
		case late := <-c.f.late:
			late()
		default:
		}
	}
	return n, err
}

// TestArrivesWithTheDeadline guards against a connection that is closed although a request has arrived: as the time of
// idleness, or that of a new connection, ends.
func TestArrivesWithTheDeadline(t *testing.T) {
	for name, first := range map[string]string{"kept": post("/", 3) + "abc", "new": ""} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var heads atomic.Int64
			f := start(t, httplimit.IdleTime(shortly), httplimit.HeadTime(func() time.Duration {
				if heads.Add(1) == 1 {
					return shortly()
				}
				return time.Hour
			}))
			proceed, sent := make(chan struct{}, 1), make(chan struct{})
			f.late <- func() {
				proceed <- struct{}{}
				<-sent
			}
			client := f.client(t, first)
			if first != "" {
				_, body := client.answer(t)
				c.Check(body, qt.Equals, "3")
			}
			select {
			case <-proceed:
			case <-time.After(waitTime):
				t.Fatal("no read ends")
			}
			client.send("POST")
			close(sent)
			time.Sleep(shortly())
			client.send(strings.TrimPrefix(post("/", 4), "POST") + "abcd")
			_, body := client.answer(t)
			c.Check(body, qt.Equals, "4")
		})
	}
}

// TestTimesChange guards against times that hold only as they were at the start of the server or of a connection.
func TestTimesChange(t *testing.T) {
	c := qt.New(t)
	var headTime, idleTime atomic.Int64
	load := func(v *atomic.Int64) func() time.Duration {
		return func() time.Duration { return time.Duration(v.Load()) }
	}
	set := func(head, idle time.Duration) { headTime.Store(int64(head)); idleTime.Store(int64(idle)) }
	f := start(t, httplimit.HeadTime(load(&headTime)), httplimit.IdleTime(load(&idleTime)))
	set(time.Hour, time.Hour)
	var kept []*client
	for i := range 3 {
		kept = append(kept, f.client(t, post("/", 3)+"abc"))
		_, body := kept[i].answer(t)
		c.Check(body, qt.Equals, "3")
	}
	set(shortly(), time.Hour)
	kept[0].send("GET / HT")
	status, _ := kept[0].answer(t)
	c.Check(status, qt.Equals, http.StatusBadRequest)
	set(time.Hour, shortly())
	kept[1].send(post("/", 4) + "abcd")
	_, body := kept[1].answer(t)
	c.Check(body, qt.Equals, "4")
	status, _ = kept[1].answer(t)
	c.Check(status, qt.Equals, 0)
	kept[2].send("GET /none HTTP/1.1\r\n")
	time.Sleep(2 * shortly())
	kept[2].send("Host: h\r\n\r\n")
	status, _ = kept[2].answer(t)
	c.Check(status, qt.Equals, http.StatusNotFound)
}

// TestIdleTimeIsNotTheHeads guards against a head that begins as the connection was idle and has the rest of that time.
func TestIdleTimeIsNotTheHeads(t *testing.T) {
	c := qt.New(t)
	f := start(t, httplimit.IdleTime(shortly))
	client := f.client(t, post("/", 3)+"abc"+"GET /none HTTP/1.1\r\n") // a part of the next head is read with the body
	_, body := client.answer(t)
	c.Check(body, qt.Equals, "3")
	time.Sleep(2 * shortly())
	client.send("Host: h\r\n\r\n")
	status, _ := client.answer(t)
	c.Check(status, qt.Equals, http.StatusNotFound)
}

// TestHeadTimeEndsWithTheHead guards against a request that is given up as the time of its head ends.
func TestHeadTimeEndsWithTheHead(t *testing.T) {
	c := qt.New(t)
	f := start(t, httplimit.HeadTime(shortly))
	client := f.client(t, "GET /act HTTP/1.1\r\nHost: h\r\n\r\n")
	f.awaitActing(t)
	time.Sleep(2 * shortly())
	close(f.proceed)
	_, body := client.answer(t)
	c.Check(body, qt.Equals, "<nil>")
}

// TestHeadTimeIsNotExtended guards against a head that has more than its time since a part arrives as it ends.
func TestHeadTimeIsNotExtended(t *testing.T) {
	f := start(t, httplimit.HeadTime(shortly))
	client := f.client(t, "GET /act HT")
	f.late <- func() { client.send("TP/1.1\r\nHost: h\r\n\r\n") }
	qt.Assert(t, client.SetReadDeadline(time.Now().Add(waitTime)), qt.IsNil)
	_, err := io.Copy(io.Discard, client)
	qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
	qt.Check(t, f.acting, qt.HasLen, 0)
}
