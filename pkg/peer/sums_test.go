package peer_test

import (
	"context"
	"encoding/binary"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// TestUnfinishedFrames guards against the sum of many large frames that stop before their end.
func TestUnfinishedFrames(t *testing.T) {
	part := append(binary.BigEndian.AppendUint32(nil, peer.MaxFrame), make([]byte, largePart)...)
	synctest.Test(t, func(t *testing.T) {
		s := startCalls(t, newPipeListener(), answerOk)
		for range largeLinks {
			_, _ = s.open().Write(part) // fails when the server closes the link
		}
		synctest.Wait()
		s.checkMemory()
		s.checkServed()
		s.stop()
	})
}

// TestUnfinishedHello does so with frames in place of the handshake.
func TestUnfinishedHello(t *testing.T) {
	part := append(binary.BigEndian.AppendUint32(nil, peer.MaxFrame), make([]byte, largePart)...)
	synctest.Test(t, func(t *testing.T) {
		s := startRequests(t, newPipeListener(), answerRequest)
		for range largeLinks {
			c := s.open()
			_, err := peer.ReadFrame(c, &schema.PeerHello{})
			qt.Assert(t, err, qt.IsNil)
			_, _ = c.Write(part) // fails when the server closes the link
		}
		synctest.Wait()
		s.checkMemory()
		s.stop()
	})
}

// TestUnreadReplies guards against the sum of large replies that are never read.
func TestUnreadReplies(t *testing.T) {
	catalog := make([]byte, largePart)
	synctest.Test(t, func(t *testing.T) {
		s := startCalls(t, newPipeListener(), func(_ context.Context, q *schema.Call) *schema.CallReply {
			if q.Kind == schema.CallKindPing {
				return answerOk(context.Background(), q)
			}
			return &schema.CallReply{Outcome: schema.CallOutcomeOk, Catalog: catalog}
		})
		for range largeLinks {
			_, _ = peer.WriteFrame(s.open(), &schema.Call{Kind: schema.CallKindCatalog})
		}
		synctest.Wait()
		s.checkMemory()
		s.checkServed()
		s.stop()
	})
}

// TestCallsUnderWay guards against the sum of many calls whose answers take their time.
func TestCallsUnderWay(t *testing.T) {
	const calls = 128 // of each link
	record := make([]byte, largePart/calls)
	synctest.Test(t, func(t *testing.T) {
		s := startCalls(t, newPipeListener(), func(_ context.Context, q *schema.Call) *schema.CallReply {
			if q.Kind != schema.CallKindPing {
				time.Sleep(2 * time.Second)
			}
			return answerOk(context.Background(), q)
		})
		var crowd sync.WaitGroup
		for range largeLinks {
			c := s.open()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			crowd.Go(func() {
				for range calls {
					if _, err := peer.WriteFrame(c, &schema.Call{Kind: schema.CallKindSubmit, Record: record}); err != nil {
						return
					}
				}
			})
		}
		time.Sleep(time.Second)
		s.checkMemory()
		s.checkServed()
		crowd.Wait()
		s.stop()
	})
}

// TestLargePings does so with pings.
func TestLargePings(t *testing.T) {
	record := make([]byte, largePart)
	synctest.Test(t, func(t *testing.T) {
		s := startCalls(t, newPipeListener(), func(_ context.Context, q *schema.Call) *schema.CallReply {
			time.Sleep(2 * time.Second)
			runtime.KeepAlive(q)
			return answerOk(context.Background(), q)
		})
		for range largeLinks {
			_, _ = peer.WriteFrame(s.open(), &schema.Call{Kind: schema.CallKindPing, Record: record})
		}
		synctest.Wait()
		s.checkMemory()
		s.checkServed()
		s.stop()
	})
}

// TestPingsUnderWay guards against the sum of many pings whose answers take their time, and checks that
// others are answered beside them.
func TestPingsUnderWay(t *testing.T) {
	const (
		pings    = 200                    // of each link
		together = 4<<10 + largeLinks + 1 // at a time
	)
	synctest.Test(t, func(t *testing.T) {
		var underWay, most atomic.Int64
		s := startCalls(t, newPipeListener(), func(_ context.Context, q *schema.Call) *schema.CallReply {
			n := underWay.Add(1)
			defer underWay.Add(-1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
			time.Sleep(2 * time.Second)
			return answerOk(context.Background(), q)
		})
		for range largeLinks {
			c := s.open()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			go func() {
				for range pings {
					if _, err := peer.WriteFrame(c, &schema.Call{Kind: schema.CallKindPing}); err != nil {
						return
					}
				}
			}()
		}
		time.Sleep(time.Second)
		s.checkServed()
		time.Sleep(time.Hour)
		qt.Check(t, most.Load() <= together, qt.IsTrue, qt.Commentf("%d pings at a time", most.Load()))
		s.stop()
	})
}
