package silence

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// Listener accepts connections that can be made silent. On a silent connection,
// incoming data is discarded and writes succeed without sending anything.
type Listener struct {
	net.Listener

	mu       sync.Mutex
	conns    map[*conn]struct{}
	accepted int
}

// Wrap returns a listener whose connections can be made silent.
func Wrap(ln net.Listener) *Listener {
	return &Listener{Listener: ln, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &conn{Conn: c, ln: l}
	l.mu.Lock()
	l.conns[w] = struct{}{}
	l.accepted++
	l.mu.Unlock()
	return w, nil
}

// Silence makes a random fraction, from 0 to 1, of the open connections silent and
// returns their number.
func (l *Listener) Silence(fraction float64) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if rand.Float64() < fraction {
			c.silence()
			n++
		}
	}
	return n
}

// Accepted returns the number of connections accepted so far.
func (l *Listener) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// conn is a connection that can be made silent.
type conn struct {
	net.Conn
	ln *Listener

	mu     sync.Mutex
	silent bool
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read implements io.Reader. On a silent connection it discards incoming data until
// the other side closes.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	if err == nil {
		_, err = io.Copy(io.Discard, c.Conn)
	}
	if err == nil {
		err = io.EOF
	}
	return 0, err
}

// Write implements io.Writer. On a silent connection it sends nothing.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements io.Closer.
func (c *conn) Close() error {
	c.ln.mu.Lock()
	delete(c.ln.conns, c)
	c.ln.mu.Unlock()
	return c.Conn.Close()
}
