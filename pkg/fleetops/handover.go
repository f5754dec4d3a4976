package fleetops

import (
	"context"
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
		r.formerOrders.add(o)
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

// matters reports whether the next holder needs to know of an order: it has to wait for the order
// gap, or the VM list may show what the order did.
func (r *Runner) matters(until, now time.Duration) bool {
	return r.withinOrderGap(until, now) || r.mayShow(until, now)
}

// announce persists that orders may be sent within orderWindow.
func (r *Runner) announce(ctx context.Context, orders []vmOrder) {
	if len(orders) == 0 {
		return
	}
	if !r.clock.fresh(r.now()) {
		if _, err := r.readAnnouncement(ctx); err != nil && !errors.As(err, new(errMalformed)) {
			r.log.Warn().Str("event", "orders_not_announced").Int("vms", len(orders)).Err(err).Send()
			return
		}
	}
	next := r.mergedAnnouncement(orders)
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
		r.log.Warn().Str("event", "orders_not_announced").Int("vms", len(orders)).Err(err).Send()
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
			r.announced = newOrderBook(a.Orders)
			r.log.Info().Str("event", "orders_announced_before").Int("vms", len(a.Orders)).Int64("term", a.Term).Send()
		}
	}
}

// mergedAnnouncement returns the announced orders, of this and former holders, that matter to the next
// holder, the given orders, and those of waves whose progress is not stored, as far as the row has room.
func (r *Runner) mergedAnnouncement(orders []vmOrder) orderBook {
	now := r.now()
	next := orderBook{}
	for _, known := range []orderBook{r.formerOrders, r.announced} {
		for _, o := range known.sorted() {
			if r.matters(o.Until, now) {
				next.add(o)
			}
		}
	}
	until := r.clock.latest(now) + orderWindow
	remaining := maxAnnouncementBytes
	for _, o := range next.sorted() {
		remaining -= o.size()
	}
	for _, order := range orders {
		o := announcedOrder{VM: order.vm, Until: until, Wave: order.wave, Boot: order.boot}
		if remaining -= o.size(); remaining < 0 {
			break // announced in a later step
		}
		next.add(o)
	}
	r.keepUnsaved(next, min(remaining, maxUnsavedBytes))
	return next
}

// size returns about how many bytes of the row an order takes.
func (o *announcedOrder) size() int { return len(o.VM) + len(o.Boot) + announcedOrderBytes }

// keepUnsaved adds the announced orders of open waves whose progress is not stored, as far as remaining
// bytes allow: the next holder then doesn't maintain again what was done.
func (r *Runner) keepUnsaved(next orderBook, remaining int) {
	unsaved := r.unsavedOrders()
	for _, known := range []orderBook{r.announced, r.formerOrders} {
		for _, o := range known.sorted() {
			_, announced := next.find(o.VM, o.Wave)
			if announced || !unsaved[orderKey{o.VM, o.Wave}] {
				continue
			}
			if remaining -= o.size(); remaining < 0 {
				return
			}
			next.add(o)
		}
	}
}

// orderKey names what orders are for.
type orderKey struct {
	vm   string
	wave int // noWave for a move
}

// unsavedOrders returns the VMs and open waves whose orders may have been carried out though the stored
// progress does not say so.
func (r *Runner) unsavedOrders() map[orderKey]bool {
	unsaved := map[orderKey]bool{}
	open := r.openWaves()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range open {
		for _, v := range w.vms {
			_, byFormer := r.formerOrders.find(v.Name, w.ID)
			unanswered := r.sent[v.Name][w.ID].answer == OrderUnanswered
			if v.over() && w.changed || !v.over() && (v.Phase == PhaseOrdered || byFormer || unanswered) {
				unsaved[orderKey{v.Name, w.ID}] = true
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
func (r *Runner) announcementTxn(orders orderBook) (txn platform.RowTxn, err error) {
	raw, err := msgpack.Marshal(announcement{Term: r.claim.Term, Orders: orders.sorted()})
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
	txn, err := r.announcementTxn(r.sentAnnouncement(now))
	if err != nil {
		return err
	}
	return r.claim.ReleaseWith(ctx, r.cfg.Rows, Partition, shard.Handover{Entry: next}, txn)
}

// sentAnnouncement returns the part of the announcement that was sent, each order with the time when it was.
func (r *Runner) sentAnnouncement(now time.Duration) orderBook {
	unsaved, sent := r.unsavedOrders(), orderBook{}
	for _, o := range r.mergedAnnouncement(nil).sorted() {
		former, known := r.formerOrders.find(o.VM, o.Wave)
		if last, ok := r.lastOrder(o.VM, o.Wave); ok {
			o.Until = max(min(o.Until, r.clock.latest(last.sentAt)), former.Until)
		} else if o = former; !known {
			continue
		}
		if r.matters(o.Until, now) || unsaved[orderKey{o.VM, o.Wave}] {
			sent.add(o)
		}
	}
	return sent
}
