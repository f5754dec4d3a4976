package node

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/pause"
)

// watchSuspensions says in the log that this machine was suspended, within suspensionPoll
// of its wake: what this entry was allowed before may have expired since.
func (n *Node) watchSuspensions(ctx context.Context) error {
	seen := elapsed.Suspended()
	for pause.For(ctx, suspensionPoll) == nil {
		total := elapsed.Suspended()
		if total > seen {
			n.log.Warn().Str("event", "machine_suspended").Dur("for", total-seen).Send()
		}
		seen = total
	}
	return nil
}

// suspensionPoll is how often suspensions are looked for, for the log only.
const suspensionPoll = time.Second
