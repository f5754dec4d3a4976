package connlimit

import (
	"net"
	"testing"

	"github.com/rs/zerolog"
)

// endless accepts connections without end.
type endless struct{ failing }

func (endless) Accept() (net.Conn, error) { return closedConn{}, nil }

// closedConn is a connection of no use.
type closedConn struct{ net.Conn }

func (closedConn) Close() error { return nil }

// BenchmarkAtLimit accepts connections at a high limit.
func BenchmarkAtLimit(b *testing.B) {
	const limit = 16384
	ln := New(endless{}, limit, zerolog.Nop())
	for range limit {
		if _, err := ln.Accept(); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		if _, err := ln.Accept(); err != nil {
			b.Fatal(err)
		}
	}
}
