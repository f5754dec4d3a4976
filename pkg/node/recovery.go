package node

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// recoveryCheckInterval is the time between two checks whether the table service answers again.
	recoveryCheckInterval = 100 * time.Millisecond
	// recoveryCheckTimeout bounds one check: a connection attempt that was dropped is repeated by the
	// system only after a second.
	recoveryCheckTimeout = 300 * time.Millisecond
)

// watchRecovery checks at short intervals whether the table service answers again while this entry
// is the first to claim a shard, until ctx ends. The pauses of the feeds are longer and random, since
// all entries have feeds.
func (n *Node) watchRecovery(ctx context.Context) error {
	for pause.For(ctx, recoveryCheckInterval) == nil {
		if n.rows.reachable() || !n.ownership.MayClaimFirst() {
			continue
		}
		n.checkRecovery(ctx)
	}
	return nil
}

// checkRecovery reads a row and records an answer. A timeout is not recorded: the service may have
// answered another call meanwhile.
func (n *Node) checkRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryCheckTimeout)
	defer cancel()
	if _, err := shard.ReadOwner(ctx, n.rows.Rows, fleetops.Partition); err == nil {
		n.rows.recordCall(ctx, nil)
	}
}
