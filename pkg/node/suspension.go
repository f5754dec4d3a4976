package node

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/pause"
)

// watchSuspensions logs suspensions of this machine, during which leases may have expired.
func (n *Node) watchSuspensions(ctx context.Context) error {
	seen := elapsed.Suspended()
	for pause.For(ctx, suspensionPollInterval) == nil {
		total := elapsed.Suspended()
		if total > seen {
			n.log.Warn().Str("event", "machine_suspended").Dur("for", total-seen).Send()
		}
		seen = total
	}
	return nil
}

// suspensionPollInterval is the time between two checks for suspensions, which are only logged.
const suspensionPollInterval = time.Second
