package httpc

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gannetwell/gannetwell/pkg/dial"
)

const (
	maxBodyBytes = 8 << 20 // of a response, unless the request names less
	// readBufferBytes holds the usual response of a worker in one read.
	readBufferBytes = 2 << 10
)

// Field is a header of a request or response.
type Field struct {
	Name, Value string
}

// Request is a request to a host.
type Request struct {
	Method string
	Host   string // host:port
	Path   string // including the query
	Header []Field
	Body   []byte // JSON, nil for none
	// LongPoll is how long the host may delay its response without counting as idle.
	LongPoll time.Duration
	// IdleTimeout is the longest time without a byte of the response, in addition to LongPoll
	// for the first one; 0 leaves only the deadline of the context.
	IdleTimeout time.Duration
	// MaxBody is the largest body of a response in bytes, 0 for 8 MB.
	MaxBody int
}

// Response is the response of a host.
type Response struct {
	Status int
	Header []Field // only if Status is 400 or more
	Body   []byte
}

// Get returns the value of a header, empty if it is not present.
func (r *Response) Get(name string) string {
	for _, f := range r.Header {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// ErrNotSent reports a request of which nothing was sent to the host.
type ErrNotSent struct{ Cause error }

// Error returns why the request was not sent.
func (e ErrNotSent) Error() string { return "request was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Cause }

// ErrNoResponse reports a request without a response; the host may have received it.
type ErrNoResponse struct{ Cause error }

// Error returns why there was no response.
func (e ErrNoResponse) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrNoResponse) Unwrap() error { return e.Cause }

// Dial opens a connection to a host:port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to hosts over pooled connections.
type Client struct {
	dial    Dial
	maxIdle int

	mu        sync.Mutex
	hosts     map[string]*host
	lastSweep time.Time // last removal of closed and old idle connections
}

// Option configures a Client.
type Option func(*Client)

// WithDial uses f to open connections.
func WithDial(f Dial) Option { return func(c *Client) { c.dial = f } }

// WithMaxIdle limits the idle connections kept per host to n.
func WithMaxIdle(n int) Option { return func(c *Client) { c.maxIdle = n } }

// defaultMaxIdle is the default number of idle connections kept per host.
const defaultMaxIdle = 12

// New returns a client without connections.
func New(opts ...Option) *Client {
	c := &Client{dial: dial.Context, maxIdle: defaultMaxIdle, hosts: map[string]*host{}, lastSweep: time.Now()}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Do sends a request and returns the response or, if ctx ends or the exchange fails, an
// [ErrNotSent] or [ErrNoResponse]. It resends a request on another connection only if a reused
// connection sent none of it, or if it is a GET and the host had closed the reused connection.
func (c *Client) Do(ctx context.Context, r *Request) (resp Response, err error) {
	for {
		cn, err := c.getConn(ctx, r.Host)
		if err != nil {
			return resp, ErrNotSent{Cause: err}
		}
		sent, err := cn.roundTrip(ctx, r, &resp)
		if err == nil {
			return resp, nil
		}
		if cn.reused && ctx.Err() == nil && (!sent || r.Method == fasthttp.MethodGet && errors.As(err, new(errClosed))) {
			continue
		}
		return resp, ErrNoResponse{Cause: err}
	}
}

// errClosed reports a connection closed by the host before any byte of the response.
type errClosed struct{ cause error }

func (e errClosed) Error() string { return "connection was closed: " + e.cause.Error() }

var (
	requestHeaders = sync.Pool{New: func() any { return new(fasthttp.RequestHeader) }}
	buffers        = sync.Pool{New: func() any { return new([]byte) }}
	readers        = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
)

// encode appends the request in wire format to buf.
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

// decode reads a response; keep reports whether the connection can be reused.
func decode(r *bufio.Reader, resp *Response, maxBody int) (keep bool, err error) {
	got := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(got)
	if err := got.ReadLimitBody(r, cmp.Or(maxBody, maxBodyBytes)); err != nil {
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
