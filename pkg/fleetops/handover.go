package fleetops

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// announcement names the VMs for which this holder may have given orders of
// late, or is about to. It is kept before the first order for a VM, under the
// condition that this entry still owns the work: what a new holder reads after
// its takeover names all VMs for which it has to keep its distance from orders
// of a former one.
type announcement struct {
	Term     int64    `msgpack:"t"`
	VMs      []string `msgpack:"v"`
	Released bool     `msgpack:"r,omitempty"` // the holder has let go and gives no more orders
}

var announcementKey = platform.RowKey{Table: tableProgress, Partition: Partition, Key: "orders"}

// afterFormer finds out for which VMs orders have to wait. A former holder that
// did not let go may give orders until its ownership is no longer confirmed.
func (r *Runner) afterFormer(ctx context.Context, now time.Duration) {
	pause := r.cfg.Pause + shard.ConfirmedFor
	row, err := shard.ReadOne(ctx, r.cfg.Rows, announcementKey)
	var a announcement
	if err == nil {
		r.announcedAs = row.Version
		a, err = decodeAnnouncement(row)
	}
	if err != nil {
		r.first = now + pause
		r.log.Warn().Str("event", "maintenance_waits").Dur("for", pause).Err(err).Send()
		return
	}
	if a.Released && a.Term == r.claim.Term-1 {
		pause = r.cfg.Pause
	}
	for _, vm := range a.VMs {
		r.notBefore[vm] = now + pause
	}
	r.log.Info().Str("event", "maintenance_waits").Int("vms", len(a.VMs)).Int64("former_term", a.Term).Bool("released", a.Released).Dur("for", pause).Send()
}

func decodeAnnouncement(row platform.Row) (a announcement, err error) {
	if row.Version > 0 {
		err = msgpack.Unmarshal(row.Value, &a)
	}
	return a, errors.Wrap(err, "decode announcement of orders")
}

// announce keeps that orders for some VMs may follow, unless that is kept.
func (r *Runner) announce(ctx context.Context, vms []string) {
	isNew := func(vm string) bool { _, ok := r.announced[vm]; return !ok }
	if !slices.ContainsFunc(vms, isNew) {
		return
	}
	next := r.announcedWith(vms)
	txn, err := r.announcementTxn(slices.Concat(slices.Collect(maps.Keys(next)), r.recentOrders()), false)
	if err != nil {
		r.log.Error().Str("event", "orders_not_announced").Err(err).Send()
		return
	}
	// The row's own version keeps an announcement that is carried out late from
	// taking the place of a newer one.
	txn.Expect = []platform.Row{r.claim.Holds(Partition), {RowKey: announcementKey, Version: r.announcedAs}}
	writeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := r.cfg.Rows.CommitRows(writeCtx, txn)
	var conflict platform.ErrConflict
	switch {
	case err == nil:
		r.announced, r.announcedAs = next, version
	case errors.As(err, &conflict):
		r.announcedBefore(conflict)
	default:
		r.log.Warn().Str("event", "orders_not_announced").Int("vms", len(vms)).Err(err).Send()
		// The row may or may not have been replaced: only what both name counts.
		maps.DeleteFunc(r.announced, func(vm string, _ time.Duration) bool { _, ok := next[vm]; return !ok })
	}
}

// announcedBefore takes a conflict: the work has another owner, or an announcement
// of ours that had no answer was carried out. What that one names is announced;
// the next step announces again what it lacks.
func (r *Runner) announcedBefore(conflict platform.ErrConflict) {
	held := r.claim.Holds(Partition)
	for _, row := range conflict.Rows {
		switch {
		case row.RowKey == held.RowKey && row.Version != held.Version:
			r.giveUp()
			return
		case row.RowKey == announcementKey && row.Version != r.announcedAs:
			a, err := decodeAnnouncement(row)
			if err != nil {
				r.log.Error().Str("event", "announcement_malformed").Err(err).Send()
			}
			r.announcedAs = row.Version
			r.announced = map[string]time.Duration{}
			for _, vm := range a.VMs {
				r.announced[vm] = r.now()
			}
			r.log.Info().Str("event", "orders_announced_before").Int("vms", len(a.VMs)).Int64("term", a.Term).Send()
		}
	}
}

// announcedWith returns what is announced and not yet out of date, with some VMs more.
func (r *Runner) announcedWith(vms []string) map[string]time.Duration {
	now := r.now()
	next := map[string]time.Duration{}
	for vm, at := range r.announced {
		if now-at < r.cfg.Pause {
			next[vm] = at
		}
	}
	for _, vm := range vms {
		next[vm] = now
	}
	return next
}

// recentOrders are the VMs for which another holder would have to wait. A VM
// that waits because of the holder before us waits for the next one as well.
func (r *Runner) recentOrders() (recent []string) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm, at := range r.lastOrder {
		if now-at < r.cfg.Pause {
			recent = append(recent, vm)
		}
	}
	for vm, until := range r.notBefore {
		if now < until {
			recent = append(recent, vm)
		}
	}
	return recent
}

// announcementTxn is the transaction that keeps an announcement; its
// preconditions are the caller's to add.
func (r *Runner) announcementTxn(vms []string, released bool) (txn platform.RowTxn, err error) {
	slices.Sort(vms)
	a := announcement{Term: r.claim.Term, VMs: slices.Compact(vms), Released: released}
	raw, err := msgpack.Marshal(a)
	if err != nil {
		return txn, errors.Wrap(err, "encode announcement of orders")
	}
	return platform.RowTxn{Put: []platform.Row{{RowKey: announcementKey, Value: raw}}}, nil
}

// letGo releases the owner row and leaves the next holder what it has to know.
func (r *Runner) letGo(ctx context.Context, next string) error {
	if r.now() < r.first {
		// We were still waiting for all of a former holder's orders: the next one waits as we did.
		return r.claim.Release(ctx, r.cfg.Rows, Partition, next)
	}
	txn, err := r.announcementTxn(r.recentOrders(), true)
	if err != nil {
		return err
	}
	return r.claim.ReleaseWith(ctx, r.cfg.Rows, Partition, next, txn)
}
