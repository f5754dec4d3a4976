package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

const exchangeTimeout = 2 * time.Second

// Client sends requests to one peer over a link that is opened on demand and reopened after an
// error.
type Client struct {
	address     string
	secret      string
	tls         func() *tls.Config
	onBytes     func(sent, received int)
	dialContext func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex // one request at a time
	conn net.Conn
}

// ClientOption configures a [Client].
type ClientOption func(*Client)

// WithTLS sets the TLS configuration, which f returns for each dial; nil means no TLS.
func WithTLS(f func() *tls.Config) ClientOption { return func(c *Client) { c.tls = f } }

// WithBytes sets a callback for the bytes of each exchange.
func WithBytes(f func(sent, received int)) ClientOption { return func(c *Client) { c.onBytes = f } }

// WithDial sets the function that opens connections.
func WithDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dialContext = f }
}

// NewClient returns a client of the peer at a host:port address; secret authenticates the link.
func NewClient(address, secret string, opts ...ClientOption) *Client {
	c := &Client{
		address: address, secret: secret,
		tls:         func() *tls.Config { return nil },
		onBytes:     func(int, int) {},
		dialContext: (&net.Dialer{}).DialContext,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Exchange sends a request and returns the reply; any error closes the link.
func (c *Client) Exchange(ctx context.Context, q *schema.PeerRequest) (reply *schema.PeerReply, err error) {
	defer func() { err = errors.Wrapf(err, "exchange with peer %s", c.address) }()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		if c.conn, err = c.dial(ctx); err != nil {
			return nil, err
		}
	}
	reply, err = c.roundTrip(ctx, q)
	if err != nil {
		c.closeConn()
	}
	return reply, err
}

func (c *Client) roundTrip(ctx context.Context, q *schema.PeerRequest) (reply *schema.PeerReply, err error) {
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	sent, err := WriteFrame(conn, q)
	if err != nil {
		return nil, err
	}
	reply = &schema.PeerReply{}
	received, err := ReadFrame(conn, reply)
	c.onBytes(sent, received)
	if err == nil {
		err = ctx.Err() // the deadline may have expired since, so that the link can't be reused
	}
	return reply, err
}

func (c *Client) dial(ctx context.Context) (conn net.Conn, err error) {
	conn, err = c.dialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	if cfg := c.tls(); cfg != nil {
		conn = tls.Client(conn, cfg)
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	if err := dialHandshake(conn, c.secret); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (c *Client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Close closes the link; a later Exchange opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeConn()
}
