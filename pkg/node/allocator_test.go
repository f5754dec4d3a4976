package node

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/ownership"
)

// TestAllocatorOfShards guards against a shard that does not know which terms grants of quota shares carry.
func TestAllocatorOfShards(t *testing.T) {
	n := New(testSettings("e1", "127.0.0.1", 1, 2, 3), services{}, source(), zerolog.New(io.Discard))
	qt.Check(t, n.shardConfig("p", ownership.Events{}).Allocator, qt.Equals, fleetops.Partition)
}
