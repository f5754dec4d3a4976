package fleetops

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// handover is what a holder that lets go leaves to the next: which VMs it gave
// orders for so lately that another holder must wait.
type handover struct {
	Term   int64    `msgpack:"t"`
	Recent []string `msgpack:"r"`
}

var handoverKey = platform.RowKey{Table: tableProgress, Partition: Partition, Key: "handover"}

// afterFormer finds out when this holder may give its first orders. A former one
// that let go has said for which VMs that is later than at once; one that did not
// may have given an order for any VM until its ownership was no longer confirmed.
func (r *Runner) afterFormer(ctx context.Context, now time.Duration) {
	pause := r.cfg.Pause + shard.ConfirmedFor
	row, err := shard.ReadOne(ctx, r.cfg.Rows, handoverKey)
	var h handover
	if err == nil && row.Version > 0 {
		err = msgpack.Unmarshal(row.Value, &h)
	}
	if err != nil || h.Term != r.claim.Term-1 {
		r.first = now + pause
		r.log.Info().Str("event", "maintenance_waits").Dur("for", pause).Err(err).Send()
		return
	}
	for _, vm := range h.Recent {
		r.notBefore[vm] = now + r.cfg.Pause
	}
}

// letGo releases the owner row and leaves the next holder what it has to know.
func (r *Runner) letGo(ctx context.Context, next string) error {
	h := handover{Term: r.claim.Term}
	now := r.now()
	for vm, at := range r.lastOrder {
		// A VM that waits because of the holder before us waits for the next one as well.
		if now-at < r.cfg.Pause || now < r.notBefore[vm] {
			h.Recent = append(h.Recent, vm)
		}
	}
	for vm, until := range r.notBefore {
		if _, ordered := r.lastOrder[vm]; !ordered && now < until {
			h.Recent = append(h.Recent, vm)
		}
	}
	raw, err := msgpack.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode handover")
	}
	put := platform.RowTxn{Put: []platform.Row{{RowKey: handoverKey, Value: raw}}}
	if now < r.first {
		put = platform.RowTxn{} // we were still waiting for all of the former holder's orders
	}
	return r.claim.ReleaseWith(ctx, r.cfg.Rows, Partition, next, put)
}
