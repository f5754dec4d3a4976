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

const askTimeout = 2 * time.Second

// Client asks one peer; its link is opened when needed and again after it broke.
type Client struct {
	address string
	secret  string
	tls     func() *tls.Config
	onBytes func(sent, received int)
	open    func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex // one question at a time
	conn net.Conn
}

// ClientOption changes how a Client is made.
type ClientOption func(*Client)

// WithTLS dials by TLS with the configuration that f returns at each dial, nil for none.
func WithTLS(f func() *tls.Config) ClientOption { return func(c *Client) { c.tls = f } }

// WithBytes reports the bytes of each exchange.
func WithBytes(f func(sent, received int)) ClientOption { return func(c *Client) { c.onBytes = f } }

// WithDial opens connections by f.
func WithDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.open = f }
}

// NewClient returns a client of the peer at a host:port.
func NewClient(address, secret string, opts ...ClientOption) *Client {
	c := &Client{
		address: address, secret: secret,
		tls:     func() *tls.Config { return nil },
		onBytes: func(int, int) {},
		open:    (&net.Dialer{}).DialContext,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Ask sends a question and returns its answer; any error closes the link.
func (c *Client) Ask(ctx context.Context, q *schema.PeerRequest) (reply *schema.PeerReply, err error) {
	defer func() { err = errors.Wrapf(err, "ask peer %s", c.address) }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		if c.conn, err = c.dial(ctx); err != nil {
			return nil, err
		}
	}
	reply, err = c.exchange(ctx, q)
	if err != nil {
		c.drop()
	}
	return reply, err
}

func (c *Client) exchange(ctx context.Context, q *schema.PeerRequest) (reply *schema.PeerReply, err error) {
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
		err = ctx.Err() // the deadline may have been moved for the next exchange
	}
	return reply, err
}

func (c *Client) dial(ctx context.Context) (conn net.Conn, err error) {
	conn, err = c.open(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	if cfg := c.tls(); cfg != nil {
		conn = tls.Client(conn, cfg)
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	if err := greet(conn, c.secret); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (c *Client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Close closes the link; a later Ask opens another.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}
