package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const secret = "a-secret-of-sixteen"

// serve runs a server that replies with the request's sender and drains; delay runs before each
// reply.
func serve(t *testing.T, delay func(q *schema.PeerRequest)) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := peer.NewServer(ln, secret, func(_ context.Context, q *schema.PeerRequest) *schema.PeerReply {
		delay(q)
		reply := &schema.PeerReply{From: schema.PeerState{Name: q.From.Name}}
		for _, vm := range q.Drains {
			reply.InFlight = append(reply.InFlight, schema.VMInFlight{VM: vm})
		}
		return reply
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Serve(ctx) }()
	t.Cleanup(func() { cancel(); qt.Check(t, <-done, qt.IsNil) })
	return ln.Addr().String()
}

func noDelay(*schema.PeerRequest) {}

// TestExchange sends a request over a link, and again after the link was closed.
func TestExchange(t *testing.T) {
	c := qt.New(t)
	cl := peer.NewClient(serve(t, noDelay), secret)
	defer cl.Close()
	for range 3 {
		reply, err := cl.Exchange(context.Background(), &schema.PeerRequest{From: schema.PeerState{Name: "me"}, Drains: []string{"w1"}})
		c.Assert(err, qt.IsNil)
		c.Check(reply.From.Name, qt.Equals, "me")
		c.Check(reply.InFlight, qt.DeepEquals, []schema.VMInFlight{{VM: "w1"}})
		cl.Close()
	}
}

// TestLateAnswer guards against taking a late reply to a canceled request for the reply to the next
// one.
func TestLateAnswer(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	address := serve(t, func(q *schema.PeerRequest) {
		if q.From.Name == "slow" {
			<-release
		}
	})
	cl := peer.NewClient(address, secret)
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := cl.Exchange(ctx, &schema.PeerRequest{From: schema.PeerState{Name: "slow"}})
	c.Assert(err, qt.IsNotNil)
	close(release)
	reply, err := cl.Exchange(context.Background(), &schema.PeerRequest{From: schema.PeerState{Name: "next"}})
	c.Assert(err, qt.IsNil)
	c.Check(reply.From.Name, qt.Equals, "next")
}

// TestWrongSecret checks that dialers and listeners without the secret are rejected, also if they
// reflect the other side's proof.
func TestWrongSecret(t *testing.T) {
	c := qt.New(t)
	cl := peer.NewClient(serve(t, noDelay), "another-secret-here")
	defer cl.Close()
	_, err := cl.Exchange(context.Background(), &schema.PeerRequest{})
	c.Check(err, qt.IsNotNil)

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	go func() { // a listener that reflects the dialer's proof
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = peer.WriteFrame(conn, &schema.PeerHello{Protocol: 1, Nonce: strings.Repeat("a", 32)})
		var hello schema.PeerHello
		_, _ = peer.ReadFrame(conn, &hello)
		_, _ = peer.WriteFrame(conn, &hello)
	}()
	impostor := peer.NewClient(ln.Addr().String(), secret)
	defer impostor.Close()
	_, err = impostor.Exchange(context.Background(), &schema.PeerRequest{})
	c.Check(errors.As(err, new(peer.ErrHandshake)), qt.IsTrue, qt.Commentf("%v", err))
}

// TestBadFrames checks that a malformed frame ends its link only.
func TestBadFrames(t *testing.T) {
	address := serve(t, noDelay)
	oversized := binary.BigEndian.AppendUint32(nil, peer.MaxFrame+1)
	for name, raw := range map[string][]byte{
		"oversized":  oversized,
		"truncated":  {0, 0, 0, 9, 1},
		"no msgpack": {0, 0, 0, 2, 0xc1, 0xc1},
		"http":       []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(raw)
			c.Assert(err, qt.IsNil)
			_ = conn.(*net.TCPConn).CloseWrite()
			_, err = io.Copy(io.Discard, conn)
			if err != nil {
				c.Check(err, qt.ErrorMatches, ".*reset by peer")
			}
			cl := peer.NewClient(address, secret)
			defer cl.Close()
			_, err = cl.Exchange(context.Background(), &schema.PeerRequest{})
			c.Check(err, qt.IsNil)
		})
	}
}

// TestFrameErrors checks the error for each kind of malformed frame.
func TestFrameErrors(t *testing.T) {
	c := qt.New(t)
	var v schema.PeerHello
	_, err := peer.ReadFrame(bytes.NewReader(binary.BigEndian.AppendUint32(nil, peer.MaxFrame+1)), &v)
	c.Check(errors.As(err, new(peer.ErrFrameTooLarge)), qt.IsTrue)
	_, err = peer.ReadFrame(bytes.NewReader([]byte{0, 0, 0, 9, 1}), &v)
	c.Check(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
	_, err = peer.ReadFrame(bytes.NewReader(nil), &v)
	c.Check(errors.Is(err, io.EOF), qt.IsTrue)
	_, err = peer.WriteFrame(io.Discard, strings.Repeat("x", peer.MaxFrame))
	c.Check(errors.As(err, new(peer.ErrFrameTooLarge)), qt.IsTrue)
}

// FuzzReadFrame checks that any input gives an error or a value that survives a round trip.
func FuzzReadFrame(f *testing.F) {
	var buf bytes.Buffer
	_, _ = peer.WriteFrame(&buf, &schema.PeerRequest{Drains: []string{"w1"}, Entries: []schema.Entry{{EditID: "e", Changes: []schema.Change{{Name: "a", After: []byte("{}")}}}}})
	f.Add(buf.Bytes())
	f.Add([]byte{0, 0, 0, 1, 0xc0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var q, again schema.PeerRequest
		if _, err := peer.ReadFrame(bytes.NewReader(raw), &q); err != nil {
			return
		}
		var out bytes.Buffer
		_, err := peer.WriteFrame(&out, &q)
		qt.Assert(t, err, qt.IsNil)
		_, err = peer.ReadFrame(&out, &again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(again.Entries), qt.Equals, len(q.Entries))
	})
}
