package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// callLink is one connection with the calls that wait for replies on it.
type callLink struct {
	conn net.Conn

	writeMu    sync.Mutex
	mu         sync.Mutex
	nextID     int
	waiting    map[int]chan *schema.CallReply
	openedAt   time.Time
	receivedAt time.Time // when data last arrived, openedAt at first
	probedAt   time.Time // when the peer was last probed
	err        error
	done       chan struct{}
}

func newCallLink(conn net.Conn) *callLink {
	now := time.Now()
	l := &callLink{conn: conn, waiting: map[int]chan *schema.CallReply{}, openedAt: now, receivedAt: now, done: make(chan struct{})}
	go l.readReplies()
	return l
}

func (l *callLink) broken() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *callLink) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = err
		close(l.done)
		_ = l.conn.Close()
	}
}

func (l *callLink) readReplies() {
	for {
		reply := &schema.CallReply{}
		_ = l.conn.SetReadDeadline(time.Time{})
		if _, err := ReadFrame(&frameReader{conn: l.conn}, reply); err != nil {
			l.fail(err)
			return
		}
		l.mu.Lock()
		l.receivedAt = time.Now()
		got := l.waiting[reply.ID]
		delete(l.waiting, reply.ID)
		l.mu.Unlock()
		if got != nil {
			got <- reply
		}
	}
}

// lastReceived returns when data last arrived, the zero time if none has.
func (l *callLink) lastReceived() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.receivedAt.Equal(l.openedAt) {
		return time.Time{}
	}
	return l.receivedAt
}

// call sends a call and waits for its reply; while it waits it runs onTick every idleProbeDelay.
func (l *callLink) call(ctx context.Context, q *schema.Call, onTick func()) (*schema.CallReply, error) {
	id, got := l.send(q)
	tick := time.NewTicker(idleProbeDelay)
	defer tick.Stop()
	for {
		select {
		case reply := <-got:
			return reply, nil
		case <-l.done:
			return nil, ErrNoAnswer{Cause: l.err}
		case <-ctx.Done():
			l.mu.Lock()
			delete(l.waiting, id)
			l.mu.Unlock()
			return nil, ErrNoAnswer{Cause: ctx.Err()}
		case <-tick.C:
			onTick()
		}
	}
}

// send sends a call; got receives its reply.
func (l *callLink) send(q *schema.Call) (id int, got chan *schema.CallReply) {
	got = make(chan *schema.CallReply, 1)
	l.mu.Lock()
	l.nextID++
	id = l.nextID
	l.waiting[id] = got
	l.mu.Unlock()
	sent := *q
	sent.ID = id
	l.writeMu.Lock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(callWriteTimeout))
	_, err := WriteFrame(l.conn, &sent)
	l.writeMu.Unlock()
	if err != nil {
		l.fail(err)
	}
	return id, got
}
