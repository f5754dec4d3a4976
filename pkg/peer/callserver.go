package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/gannetwell/gannetwell/pkg/connlimit"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// maxCalls bounds the concurrent calls of one link.
	maxCalls = 256
	// firstCallTimeout bounds the wait for the first call of a link.
	firstCallTimeout = 10 * time.Second
	// frameTimeout bounds the read of a frame that has begun.
	frameTimeout = 10 * time.Second
	// maxFrameBytes bounds the frames that are being read, and those that are being written, on all
	// links, in bytes.
	maxFrameBytes = MaxFrame + frameHeader
	// maxCallBytes bounds the calls that are being answered on all links, in bytes.
	maxCallBytes = MaxFrame + callOverhead
	// callOverhead is what a call takes beside its frame, in bytes.
	callOverhead = 1 << 10
	// smallPing is the size of a small ping with callOverhead, in bytes.
	smallPing = 2 * callOverhead
	// maxPingBytes bounds the small pings that are being answered on all links, in bytes.
	maxPingBytes = 4 << 20
)

// CallHandler answers a call of a peer.
type CallHandler func(ctx context.Context, q *schema.Call) *schema.CallReply

// CallServer answers the calls of peers, concurrently on each link.
type CallServer struct {
	links    *links
	maxLinks int
	handler  CallHandler
	log      zerolog.Logger

	reading  *budget
	writing  *budget
	calls    *semaphore.Weighted // bytes
	pings    *semaphore.Weighted // bytes of small ones
	encodeMu sync.Mutex          // one reply at a time is encoded before its bytes are counted
}

// CallServerOption configures a [CallServer].
type CallServerOption func(*CallServer)

// WithMaxLinks sets the number of links that are open at a time; at the limit, one without calls is
// closed.
func WithMaxLinks(n int) CallServerOption { return func(s *CallServer) { s.maxLinks = n } }

// NewCallServer returns a server that accepts links at ln.
func NewCallServer(ln net.Listener, h CallHandler, log zerolog.Logger, opts ...CallServerOption) *CallServer {
	s := &CallServer{
		maxLinks: maxLinks, handler: h, log: log,
		reading: newBudget(maxFrameBytes), writing: newBudget(maxFrameBytes), calls: semaphore.NewWeighted(maxCallBytes), pings: semaphore.NewWeighted(maxPingBytes),
	}
	for _, o := range opts {
		o(s)
	}
	s.links = newLinks(ln, s.maxLinks, log)
	return s
}

// Serve accepts links until ctx ends, then closes them all.
func (s *CallServer) Serve(ctx context.Context) error {
	return s.links.serve(ctx, func(conn *connlimit.Conn) {
		l := &servedLink{s: s, conn: conn, slots: make(chan struct{}, maxCalls)}
		err := l.serve(ctx)
		s.log.Debug().Str("event", "peer_link_ended").Stringer("remote", conn.RemoteAddr()).Err(err).Send()
	})
}

// servedLink is a link of a peer whose calls are answered.
type servedLink struct {
	s       *CallServer
	conn    *connlimit.Conn
	slots   chan struct{} // one for each concurrent call
	writeMu sync.Mutex
}

// serve answers calls until the link fails.
func (l *servedLink) serve(ctx context.Context) error {
	wait := firstCallTimeout
	for {
		q, size, err := l.readCall(wait)
		if err != nil {
			return err
		}
		wait = idleTimeout
		l.conn.SetState(connlimit.StateIdle)
		l.answer(ctx, q, int64(size+callOverhead))
	}
}

// readCall reads a call that begins within a time.
func (l *servedLink) readCall(within time.Duration) (q *schema.Call, size int, err error) {
	f := l.s.reading.begin(l.conn)
	defer f.end()
	q = &schema.Call{}
	_ = l.conn.SetReadDeadline(time.Now().Add(within))
	size, err = readFrame(&frameReader{conn: l.conn}, q, MaxFrame, f.add)
	return q, size, err
}

// frameReader reads a frame, which has to end within frameTimeout of its first byte.
type frameReader struct {
	conn  net.Conn
	begun bool
}

// Read implements io.Reader.
func (r *frameReader) Read(p []byte) (n int, err error) {
	n, err = r.conn.Read(p)
	if n > 0 && !r.begun {
		r.begun = true
		_ = r.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	}
	return n, err
}

// answer answers a call that takes so many bytes. Without room a small ping is answered before the
// next call of the link is read, and other calls are refused.
func (l *servedLink) answer(ctx context.Context, q *schema.Call, bytes int64) {
	room := l.s.calls
	ping := q.Kind == schema.CallKindPing && bytes <= smallPing
	if ping {
		room = l.s.pings
	}
	switch {
	case room.TryAcquire(bytes):
		l.slots <- struct{}{}
		go func() {
			defer func() { <-l.slots }()
			defer room.Release(bytes)
			l.write(q.ID, l.s.handler(ctx, q))
		}()
	case ping:
		l.write(q.ID, l.s.handler(ctx, q))
	default:
		l.write(q.ID, &schema.CallReply{Outcome: schema.CallOutcomeRefused})
	}
}

// write writes a reply.
func (l *servedLink) write(id int, reply *schema.CallReply) {
	reply.ID = id
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	f := l.s.writing.begin(l.conn)
	defer f.end()
	frame, err := l.s.encode(reply, f)
	if err == nil {
		_ = l.conn.SetWriteDeadline(time.Now().Add(callWriteTimeout))
		_, err = l.conn.Write(frame)
	}
	if err != nil {
		_ = l.conn.Close()
	}
}

// encode encodes a reply and counts its bytes.
func (s *CallServer) encode(reply any, f *frameUnderWay) (frame []byte, err error) {
	s.encodeMu.Lock()
	defer s.encodeMu.Unlock()
	if frame, err = encodeFrame(reply); err != nil {
		return nil, err
	}
	return frame, f.add(len(frame))
}
