package httpc

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gannetwell/gannetwell/pkg/dial"
)

const (
	// maxBodyBytes bounds the body of an answer that is read, in bytes.
	maxBodyBytes = 8 << 20
	// readBufferBytes holds the usual answer of a worker in one read, in bytes.
	readBufferBytes = 2 << 10
)

// Field is a header of a request or an answer.
type Field struct {
	Name, Value string
}

// Request is what is sent to a host.
type Request struct {
	Method string
	Host   string // host:port
	Path   string // with the query
	Header []Field
	Body   []byte // JSON, none when nil
	// LongPoll is for how long the host may hold its answer back by agreement; only what goes beyond it is silence.
	LongPoll time.Duration
	// IdleTimeout is the longest time, beyond Wait for the first byte, in which no byte
	// of the answer comes; 0 for the whole time that the context leaves.
	IdleTimeout time.Duration
}

// Response is what a host answered.
type Response struct {
	Status int
	Header []Field // of answers with a status of 400 and more
	Body   []byte
}

// Get returns the value of a header, empty if it is not there.
func (r *Response) Get(name string) string {
	for _, f := range r.Header {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// ErrNotSent reports a request of which the host got nothing.
type ErrNotSent struct{ Cause error }

// Error says why it was not sent.
func (e ErrNotSent) Error() string { return "request was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Cause }

// ErrNoAnswer reports a request whose answer did not come; the host may have got it.
type ErrNoAnswer struct{ Cause error }

// Error says how the answer was lost.
func (e ErrNoAnswer) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrNoAnswer) Unwrap() error { return e.Cause }

// Dial opens a connection to a host:port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client keeps connections to hosts and sends requests over them.
type Client struct {
	dial    Dial
	maxIdle int

	mu        sync.Mutex
	hosts     map[string]*host
	lastSweep time.Time // when idle connections were last gone through
}

// Option changes how a Client is made.
type Option func(*Client)

// WithDial opens connections by f.
func WithDial(f Dial) Option { return func(c *Client) { c.dial = f } }

// WithMaxIdle keeps at most n connections without a request to a host.
func WithMaxIdle(n int) Option { return func(c *Client) { c.maxIdle = n } }

// defaultMaxIdle is how many connections without a request are kept to a host.
const defaultMaxIdle = 12

// New returns a client without connections.
func New(opts ...Option) *Client {
	c := &Client{dial: dial.Context, maxIdle: defaultMaxIdle, hosts: map[string]*host{}, lastSweep: time.Now()}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Do sends a request and returns the answer; its error is an [ErrNotSent] or an
// [ErrNoAnswer]. It ends with ctx. A request that a kept connection has certainly
// not carried to the host, and a GET whose kept connection the host has closed,
// goes out again on another connection.
func (c *Client) Do(ctx context.Context, r *Request) (resp Response, err error) {
	for {
		k, err := c.getConn(ctx, r.Host)
		if err != nil {
			return resp, ErrNotSent{Cause: err}
		}
		sent, err := k.roundTrip(ctx, r, &resp)
		if err == nil {
			return resp, nil
		}
		if k.reused && ctx.Err() == nil && (!sent || r.Method == fasthttp.MethodGet && errors.As(err, new(errClosed))) {
			continue
		}
		return resp, ErrNoAnswer{Cause: err}
	}
}

// errClosed reports a connection that the host closed before it answered anything.
type errClosed struct{ cause error }

func (e errClosed) Error() string { return "connection was closed: " + e.cause.Error() }

var (
	requestHeaders = sync.Pool{New: func() any { return new(fasthttp.RequestHeader) }}
	buffers        = sync.Pool{New: func() any { return new([]byte) }}
	readers        = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
)

// encode appends the request as it goes over the wire.
func (r *Request) encode(buf []byte) []byte {
	h := requestHeaders.Get().(*fasthttp.RequestHeader)
	defer requestHeaders.Put(h)
	h.Reset()
	h.SetMethod(r.Method)
	h.SetRequestURI(r.Path)
	h.SetHost(r.Host)
	for _, f := range r.Header {
		h.Set(f.Name, f.Value)
	}
	if r.Body != nil {
		h.SetContentType("application/json")
		h.SetContentLength(len(r.Body))
	}
	return append(h.AppendBytes(buf), r.Body...)
}

// decode reads an answer.
func decode(r *bufio.Reader, resp *Response) (keep bool, err error) {
	got := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(got)
	if err := got.ReadLimitBody(r, maxBodyBytes); err != nil {
		return false, err
	}
	resp.Status = got.StatusCode()
	resp.Body = append([]byte(nil), got.Body()...)
	if resp.Status >= fasthttp.StatusBadRequest {
		for name, value := range got.Header.All() {
			resp.Header = append(resp.Header, Field{Name: string(name), Value: string(value)})
		}
	}
	return !got.ConnectionClose() && r.Buffered() == 0, nil
}
