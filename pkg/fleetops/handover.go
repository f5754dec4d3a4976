package fleetops

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/packed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// orderWindow is how long after the start of its announcement an order may be sent. It must
	// exceed the usual time of a table transaction, 0.3 s while the service is slow, or orders are
	// announced again and again. It adds to the time that the next holder waits.
	orderWindow = time.Second
	// orderTransit is the maximum time that an order takes to reach the VM service.
	orderTransit = 250 * time.Millisecond
	// maxAnnouncedAhead is more than any announced order may be ahead of the table service's clock.
	maxAnnouncedAhead = time.Minute
)

const (
	// maxAnnouncementBytes keeps the announcement row below the size limit of the table service.
	maxAnnouncementBytes = 60_000
	// announcedOrderBytes is the encoded size of one order besides its names.
	announcedOrderBytes = 28
	// maxUnsavedBytes bounds the part for VMs that may have been maintained although the stored progress
	// does not say so.
	maxUnsavedBytes = maxAnnouncementBytes / 2
)

// announcement lists the VMs for which a holder may have sent orders recently or is about to, each
// with the latest send time. It is persisted before the orders are sent, on condition that the
// owner row is unchanged. A new holder reads it after its takeover, and so knows every VM whose
// orders it has to delay.
type announcement struct {
	Term   int64            `msgpack:"t"`
	Orders []announcedOrder `msgpack:"o"`
}

// announcedOrder announces orders for one VM.
type announcedOrder struct {
	VM    string        `msgpack:"v"`
	Until time.Duration `msgpack:"u"`           // latest time at which they may be sent, on the table service's clock
	Wave  int           `msgpack:"w,omitempty"` // ID of the maintenance wave, 0 for a move
	Boot  string        `msgpack:"b,omitempty"` // worker of the VM when the order was announced; empty as stored by earlier versions
}

var announcementKey = platform.RowKey{Table: tableMaintenance, Partition: Partition, Key: "orders"}

// readAnnouncement reads the announcement and updates the estimate of the table service's clock.
func (r *Runner) readAnnouncement(ctx context.Context) (a announcement, err error) {
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.now()
	page, err := r.cfg.Rows.ListRows(readCtx, announcementKey.Table, announcementKey.Partition, announcementKey.Key)
	if err != nil {
		return a, err
	}
	r.clock = tableClock{serverTime: page.Now, sent: sent, received: r.now()}
	row := platform.Row{RowKey: announcementKey}
	if len(page.Rows) > 0 && page.Rows[0].Key == announcementKey.Key {
		row = page.Rows[0]
	}
	r.announcedVersion = row.Version
	if a, err = decodeAnnouncement(row); err != nil {
		return a, err
	}
	for _, o := range a.Orders {
		if o.Until > page.Now+maxAnnouncedAhead {
			return announcement{}, errMalformed{cause: errors.Errorf("orders for VM %s until %v are too late", o.VM, o.Until)}
		}
	}
	return a, nil
}

// loadFormerOrders reads once for which VMs former holders may have sent orders, and reports
// whether that is known. Former holders send no order later than announced, however long they were
// paused or partitioned.
func (r *Runner) loadFormerOrders(ctx context.Context) (known bool) {
	if r.formerOrdersKnown {
		return true
	}
	a, err := r.readAnnouncement(ctx)
	now := r.now()
	var malformed errMalformed
	switch {
	case errors.As(err, &malformed):
		r.noOrdersBefore = now + orderWindow + orderTransit + r.cfg.OrderGap
	case err != nil:
		r.log.Warn().Str("event", "former_orders_not_known").Err(err).Send()
		return false
	}
	r.formerOrdersKnown = true
	var longest time.Duration
	for _, o := range a.Orders {
		r.formerOrders[o.VM] = o.Until
		r.formerWaves[o.VM], r.boots[o.VM] = o.Wave, o.Boot
		longest = max(longest, o.Until+orderTransit+r.cfg.OrderGap-r.clock.earliest(now))
	}
	r.log.Info().Str("event", "maintenance_waits").Int("vms", len(a.Orders)).Int64("former_term", a.Term).
		Dur("for", max(longest, r.noOrdersBefore-now)).Err(err).Send()
	return true
}

// errMalformed reports an announcement that cannot be decoded.
type errMalformed struct{ cause error }

// Error implements the error interface.
func (e errMalformed) Error() string { return "decode announcement of orders: " + e.cause.Error() }

func decodeAnnouncement(row platform.Row) (a announcement, err error) {
	if row.Version == 0 {
		return a, nil
	}
	if err := packed.Unmarshal(row.Value, &a); err != nil {
		return a, errMalformed{cause: err}
	}
	return a, nil
}

// withinOrderGap reports whether an order now may come too soon after one that another holder sent.
// until is the latest time of that one, on the table service's clock.
func (r *Runner) withinOrderGap(until, now time.Duration) bool {
	return r.clock.earliest(now) < until+orderTransit+r.cfg.OrderGap
}

// announce persists that orders for the VMs may be sent within orderWindow.
func (r *Runner) announce(ctx context.Context, vms []string) {
	if len(vms) == 0 {
		return
	}
	if !r.clock.fresh(r.now()) {
		if _, err := r.readAnnouncement(ctx); err != nil && !errors.As(err, new(errMalformed)) {
			r.log.Warn().Str("event", "orders_not_announced").Int("vms", len(vms)).Err(err).Send()
			return
		}
	}
	next := r.mergedAnnouncement(vms)
	txn, err := r.announcementTxn(next)
	if err != nil {
		r.log.Error().Str("event", "orders_not_announced").Err(err).Send()
		return
	}
	// The expected row version prevents a delayed commit from overwriting a newer announcement.
	txn.Expect = []platform.Row{r.claim.Precondition(Partition), {RowKey: announcementKey, Version: r.announcedVersion}}
	writeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := r.cfg.Rows.CommitRows(writeCtx, txn)
	var conflict platform.ErrConflict
	switch {
	case err == nil:
		r.announced, r.announcedVersion = next, version
	case errors.As(err, &conflict):
		r.resolveConflict(conflict)
	default:
		// The commit may have succeeded or not. Either version of the row contains the orders
		// announced before, with the same or a later time.
		r.log.Warn().Str("event", "orders_not_announced").Int("vms", len(vms)).Err(err).Send()
	}
}

// resolveConflict handles a conflicting row: either another entry took over, or an earlier
// unanswered announcement of this holder was committed. The latter is used as the current
// announcement; the next step announces the missing orders.
func (r *Runner) resolveConflict(conflict platform.ErrConflict) {
	ownerRow := r.claim.Precondition(Partition)
	for _, row := range conflict.Rows {
		switch {
		case row.RowKey == ownerRow.RowKey && row.Version != ownerRow.Version:
			r.giveUp()
			return
		case row.RowKey == announcementKey && row.Version != r.announcedVersion:
			a, err := decodeAnnouncement(row)
			if err != nil {
				r.log.Error().Str("event", "announcement_malformed").Err(err).Send()
			}
			r.announcedVersion = row.Version
			r.announced = map[string]time.Duration{}
			for _, o := range a.Orders {
				r.announced[o.VM] = o.Until
			}
			r.log.Info().Str("event", "orders_announced_before").Int("vms", len(a.Orders)).Int64("term", a.Term).Send()
		}
	}
}

// mergedAnnouncement returns, by VM, the latest send time of the announced orders that the next
// holder may have to wait for, of this and former holders, of orders for the given VMs, and of waves
// whose progress is not stored, as far as the row has room.
func (r *Runner) mergedAnnouncement(vms []string) map[string]time.Duration {
	now := r.now()
	next := map[string]time.Duration{}
	for _, known := range []map[string]time.Duration{r.formerOrders, r.announced} {
		for vm, until := range known {
			if r.withinOrderGap(until, now) {
				next[vm] = max(next[vm], until)
			}
		}
	}
	until := r.clock.latest(now) + orderWindow
	remaining := maxAnnouncementBytes
	for vm := range next {
		remaining -= r.announcedBytes(vm)
	}
	for _, vm := range vms {
		if remaining -= r.announcedBytes(vm); remaining < 0 {
			break // announced in a later step
		}
		next[vm] = until
	}
	r.keepUnsaved(next, min(remaining, maxUnsavedBytes))
	return next
}

// announcedBytes returns about how much of the row the orders for a VM take.
func (r *Runner) announcedBytes(vm string) int {
	return len(vm) + len(r.boots[vm]) + announcedOrderBytes
}

// keepUnsaved adds the former announcements for VMs of open waves whose progress is not stored, as
// far as remaining bytes allow: the next holder then doesn't maintain again what was done.
func (r *Runner) keepUnsaved(next map[string]time.Duration, remaining int) {
	unsaved := r.unsavedVMs()
	for _, known := range []map[string]time.Duration{r.announced, r.formerOrders} {
		for _, vm := range slices.Sorted(maps.Keys(known)) {
			_, announced := next[vm]
			if _, ok := unsaved[vm]; !ok || announced {
				continue
			}
			if remaining -= r.announcedBytes(vm); remaining < 0 {
				return
			}
			next[vm] = known[vm]
		}
	}
}

// unsavedVMs returns the VMs of open waves that may have been maintained though the stored progress
// does not say so, with the ID of the wave.
func (r *Runner) unsavedVMs() map[string]int {
	unsaved := map[string]int{}
	open := r.openWaves()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range open {
		for _, v := range w.vms {
			done := v.over()
			byFormer := v.Phase != PhaseOrdered && !done && r.formerWaves[v.Name] == w.ID
			if v.Phase == PhaseOrdered || byFormer || v.maybeDone && !done || done && w.changed {
				unsaved[v.Name] = w.ID
			}
		}
	}
	return unsaved
}

// activeWaves returns the ID of the wave for which a VM is being drained or maintained, by VM.
func (r *Runner) activeWaves() map[string]int {
	waves := map[string]int{}
	open := r.openWaves()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range open {
		for _, v := range w.vms {
			if v.Phase == PhaseDraining || v.Phase == PhaseOrdered {
				waves[v.Name] = w.ID
			}
		}
	}
	return waves
}

// announcementTxn returns the transaction that writes an announcement, without preconditions.
func (r *Runner) announcementTxn(orders map[string]time.Duration) (txn platform.RowTxn, err error) {
	a := announcement{Term: r.claim.Term}
	waves := r.unsavedVMs()
	maps.Copy(waves, r.activeWaves())
	for _, vm := range slices.Sorted(maps.Keys(orders)) {
		wave, inWave := waves[vm]
		if !inWave && r.moves[vm] == nil {
			wave = r.formerWaves[vm]
		}
		a.Orders = append(a.Orders, announcedOrder{VM: vm, Until: orders[vm], Wave: wave, Boot: r.boots[vm]})
	}
	raw, err := msgpack.Marshal(a)
	if err != nil {
		return txn, errors.Wrap(err, "encode announcement of orders")
	}
	return platform.RowTxn{Put: []platform.Row{{RowKey: announcementKey, Value: raw}}}, nil
}

// releaseOwnership releases the owner row and announces for the next holder only orders that were
// actually sent, to shorten its wait.
func (r *Runner) releaseOwnership(ctx context.Context, next string) error {
	now := r.now()
	if !r.formerOrdersKnown || now < r.noOrdersBefore {
		// The former holder's orders are unknown: keep its announcement for the next holder.
		return r.claim.Release(ctx, r.cfg.Rows, Partition, shard.Handover{Entry: next})
	}
	orders := map[string]time.Duration{}
	for vm, until := range r.mergedAnnouncement(nil) {
		if sent := r.lastOrderOf(vm); sent > 0 {
			until = min(until, r.clock.latest(sent))
		} else {
			until = r.formerOrders[vm]
		}
		if until = max(until, r.formerOrders[vm]); r.withinOrderGap(until, now) {
			orders[vm] = until
		}
	}
	used := 0
	for vm := range orders {
		used += r.announcedBytes(vm)
	}
	r.keepUnsaved(orders, min(maxAnnouncementBytes-used, maxUnsavedBytes))
	for vm, until := range orders {
		if sent := r.lastOrderOf(vm); sent > 0 {
			orders[vm] = max(min(until, r.clock.latest(sent)), r.formerOrders[vm])
		}
	}
	txn, err := r.announcementTxn(orders)
	if err != nil {
		return err
	}
	return r.claim.ReleaseWith(ctx, r.cfg.Rows, Partition, shard.Handover{Entry: next}, txn)
}
