package httpc_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/httpc"
)

// TestScripts runs the scripts of testdata against a server whose connections hang, close or
// respond in pieces. It prints the result of each call and the number of connections accepted.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newServer(t)
		c := httpc.New(httpc.WithMaxIdle(4))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return run(t, s, c, d) })
	})
}

// background holds the results of calls that run concurrently with a script.
var background []chan string

func run(t *testing.T, s *server, c *httpc.Client, d *datadriven.TestData) string {
	arg := func(key, other string) string {
		for _, a := range d.CmdArgs {
			if a.Key == key && len(a.Vals) > 0 {
				return a.Vals[0]
			}
		}
		return other
	}
	within := func(key string) time.Duration {
		got, err := time.ParseDuration(arg(key, "0s"))
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	switch d.Cmd {
	case "answer":
		s.set(strings.Split(d.Input, "\n"))
		return ""
	case "silence":
		s.ln.Silence(1)
		return ""
	case "close":
		s.closeAll()
		return ""
	case "pause":
		time.Sleep(within("for"))
		return ""
	case "call":
		r := httpc.Request{
			Method: arg("method", "POST"), Host: s.address(), Path: "/path?a=b", Body: []byte(arg("body", "{}")),
			Header: []httpc.Field{{Name: "Expect-Boot", Value: "b1"}}, LongPoll: within("wait"), IdleTimeout: within("silence"),
		}
		if r.Method == "GET" {
			r.Body = nil
		}
		times, _ := strconv.Atoi(arg("times", "1"))
		b := bounds{timeout: within("timeout"), cancelAfter: within("cancel"), late: within("late")}
		call := func() string { return callTogether(c, r, times, b) }
		if arg("background", "") != "" {
			later := make(chan string, 1)
			background = append(background, later)
			go func() { later <- call() }()
			return ""
		}
		return fmt.Sprintf("%s%d connections\n", call(), s.ln.Accepted())
	case "await":
		later := background[0]
		background = background[1:]
		return <-later
	case "sent":
		return s.received()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	}
}

// bounds are the time limits of a call.
type bounds struct {
	timeout, cancelAfter time.Duration
	late                 time.Duration // calls that take longer are reported, 0 for none
}

// callTogether makes the same call several times concurrently and prints the results.
func callTogether(c *httpc.Client, r httpc.Request, times int, b bounds) string {
	outcomes := make([]string, times)
	var wg sync.WaitGroup
	for i := range times {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
			defer cancel()
			if b.cancelAfter > 0 {
				time.AfterFunc(b.cancelAfter, cancel)
			}
			started := time.Now()
			resp, err := c.Do(ctx, &r)
			outcomes[i] = outcome(&resp, err)
			if took := time.Since(started); b.late > 0 && took > b.late {
				outcomes[i] += fmt.Sprintf("late: %v\n", took)
			}
		})
	}
	wg.Wait()
	return strings.Join(outcomes, "")
}

// outcome prints a response, or what is known of the request.
func outcome(resp *httpc.Response, err error) string {
	var notSent httpc.ErrNotSent
	switch {
	case err == nil:
		return strings.TrimSpace(fmt.Sprintf("%d %s %s", resp.Status, resp.Body, resp.Get("Instance-Id"))) + "\n"
	case errors.As(err, &notSent):
		return "not sent\n"
	default:
		return "unknown\n"
	}
}

// TestGivenUpIsNotSent checks that the unsent rest of an aborted request is not delivered
// later.
func TestGivenUpIsNotSent(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		k, err := ln.Accept()
		if err == nil {
			_ = k.(*net.TCPConn).SetReadBuffer(4096)
			accepted <- k
		}
	}()
	const length = 250_000
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = httpc.New().Do(ctx, &httpc.Request{Method: "POST", Host: ln.Addr().String(), Path: "/", Body: make([]byte, length)})
	c.Assert(err, qt.IsNotNil)
	k := <-accepted
	defer func() { _ = k.Close() }()
	_ = k.SetReadDeadline(time.Now().Add(10 * time.Second))
	got, _ := io.Copy(io.Discard, k)
	c.Check(got < length, qt.IsTrue, qt.Commentf("the host read %d bytes", got))
}
