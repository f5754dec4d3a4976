package ownership

import (
	"bytes"
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// TestNestedRows guards against a stack that grows with the levels of a row.
func TestNestedRows(t *testing.T) {
	c := qt.New(t)
	nested := append([]byte{0x81, 0xa1, '?'}, append(bytes.Repeat([]byte{0x91}, 60_000), 0xc0)...)
	_, err := shard.DecodeOwner(nested)
	c.Check(err, qt.IsNotNil)
	member, err := msgpack.Marshal(Member{Name: "odd", Address: "127.0.0.1:7", CPUs: 1})
	c.Assert(err, qt.IsNil)
	member[0]++ // one more field
	member = append(member, nested[1:]...)
	var log bytes.Buffer
	m := NewMembers(Member{Name: "e0"}, nil, zerolog.New(&log), elapsed.New(), fixedEntry{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m.Apply(ctx, platform.Row{RowKey: platform.RowKey{Key: "odd"}, Value: member, Version: 1})
	c.Check(m.peers, qt.HasLen, 0)
	c.Check(log.String(), qt.Contains, "member_row_malformed")
}
