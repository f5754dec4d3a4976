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

const (
	// orderWindow is how long after its announcement an order for a VM may be sent.
	// It has to outlast a transaction of a slow table service, 0.3 s; each second
	// more is one that a next holder waits. A wait of 4.5 s from the takeover on, for
	// all VMs about to be ordered, cost 0.019 +- 0.007 of what callers get on days
	// with trouble (80 pairs).
	orderWindow = time.Second
	// orderTransit is how long an order may take to the VM service beyond that, a
	// few milliseconds on the users' networks.
	orderTransit = 250 * time.Millisecond
)

// announcedBytes bounds the row that names all VMs for which orders bind, some 1,900 of them, below
// the longest that the table service takes; orderBytes is what one takes beside its VM's name.
const (
	announcedBytes = 60_000
	orderBytes     = 24
)

// announcement names the VMs for which this holder may have given orders of
// late, or is about to, with the time until when. It is kept before the orders
// are sent, under the condition that this entry still owns the work: what a new
// holder reads after its takeover names all VMs for which it has to keep its
// distance from orders of former ones.
type announcement struct {
	Term   int64            `msgpack:"t"`
	Orders []announcedOrder `msgpack:"o"`
}

// announcedOrder is the announcement of orders for one VM.
type announcedOrder struct {
	VM    string        `msgpack:"v"`
	Until time.Duration `msgpack:"u"`           // no order for it is sent later, on the table service's clock
	Wave  int           `msgpack:"w,omitempty"` // that it is maintained for, 0 for a move
}

var announcementKey = platform.RowKey{Table: tableProgress, Partition: Partition, Key: "orders"}

// readAnnouncement reads what is announced, and the table service's clock with it.
func (r *Runner) readAnnouncement(ctx context.Context) (a announcement, err error) {
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.now()
	page, err := r.cfg.Rows.ListRows(readCtx, announcementKey.Table, announcementKey.Partition, announcementKey.Key)
	if err != nil {
		return a, err
	}
	r.clock = storeClock{read: page.Now, sent: sent, received: r.now()}
	row := platform.Row{RowKey: announcementKey}
	if len(page.Rows) > 0 && page.Rows[0].Key == announcementKey.Key {
		row = page.Rows[0]
	}
	r.announcedAs = row.Version
	return decodeAnnouncement(row)
}

// learnFormer finds out for which VMs orders have to wait; it reports whether that
// is known. The holders before us send none later than they announced, however
// long they were frozen or cut off.
func (r *Runner) learnFormer(ctx context.Context) (known bool) {
	if r.formerKnown {
		return true
	}
	a, err := r.readAnnouncement(ctx)
	now := r.now()
	var malformed errMalformed
	switch {
	case errors.As(err, &malformed):
		r.first = now + orderWindow + orderTransit + r.cfg.OrderGap
	case err != nil:
		r.log.Warn().Str("event", "former_orders_not_known").Err(err).Send()
		return false
	}
	r.formerKnown = true
	var longest time.Duration
	for _, o := range a.Orders {
		r.former[o.VM] = o.Until
		r.formerWaves[o.VM] = o.Wave
		longest = max(longest, o.Until+orderTransit+r.cfg.OrderGap-r.clock.earliest(now))
	}
	r.log.Info().Str("event", "maintenance_waits").Int("vms", len(a.Orders)).Int64("former_term", a.Term).
		Dur("for", max(longest, r.first-now)).Err(err).Send()
	return true
}

// errMalformed reports an announcement that cannot be read.
type errMalformed struct{ cause error }

// Error names the cause.
func (e errMalformed) Error() string { return "decode announcement of orders: " + e.cause.Error() }

func decodeAnnouncement(row platform.Row) (a announcement, err error) {
	if row.Version == 0 {
		return a, nil
	}
	if err := msgpack.Unmarshal(row.Value, &a); err != nil {
		return a, errMalformed{cause: err}
	}
	return a, nil
}

// binds tells whether another holder would have to keep its distance yet from an
// order that is sent until a time of the table service's clock.
func (r *Runner) binds(until, now time.Duration) bool {
	return r.clock.earliest(now) < until+orderTransit+r.cfg.OrderGap
}

// announce keeps that orders for some VMs may follow within the next moment.
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
	next := r.announcedWith(vms)
	txn, err := r.announcementTxn(next)
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
		// The row may or may not have been replaced: what was announced before
		// stands in either with the same time or a later one.
		r.log.Warn().Str("event", "orders_not_announced").Int("vms", len(vms)).Err(err).Send()
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
			for _, o := range a.Orders {
				r.announced[o.VM] = o.Until
			}
			r.log.Info().Str("event", "orders_announced_before").Int("vms", len(a.Orders)).Int64("term", a.Term).Send()
		}
	}
}

// announcedWith returns what is announced, by us or by a former holder, as far as
// it still binds, with some VMs more.
func (r *Runner) announcedWith(vms []string) map[string]time.Duration {
	now := r.now()
	next := map[string]time.Duration{}
	for _, known := range []map[string]time.Duration{r.former, r.announced} {
		for vm, until := range known {
			if r.binds(until, now) {
				next[vm] = max(next[vm], until)
			}
		}
	}
	until := r.clock.latest(now) + orderWindow
	room := announcedBytes
	for vm := range next {
		room -= len(vm) + orderBytes
	}
	for _, vm := range vms {
		if room -= len(vm) + orderBytes; room < 0 {
			break // their turn comes with a later step
		}
		next[vm] = until
	}
	return next
}

// wavesUnderWay returns the waves for which VMs are being emptied or maintained, by VM.
func (r *Runner) wavesUnderWay() map[string]int {
	waves := map[string]int{}
	for _, w := range r.openWaves() {
		for _, v := range w.vms {
			if v.Phase == PhaseEmptying || v.Phase == PhaseOrdered {
				waves[v.Name] = w.ID
			}
		}
	}
	return waves
}

// announcementTxn is the transaction that keeps an announcement; its
// preconditions are the caller's to add.
func (r *Runner) announcementTxn(orders map[string]time.Duration) (txn platform.RowTxn, err error) {
	a := announcement{Term: r.claim.Term}
	waves := r.wavesUnderWay()
	for _, vm := range slices.Sorted(maps.Keys(orders)) {
		wave, ours := waves[vm]
		if !ours && r.moves[vm] == nil {
			wave = r.formerWaves[vm]
		}
		a.Orders = append(a.Orders, announcedOrder{VM: vm, Until: orders[vm], Wave: wave})
	}
	raw, err := msgpack.Marshal(a)
	if err != nil {
		return txn, errors.Wrap(err, "encode announcement of orders")
	}
	return platform.RowTxn{Put: []platform.Row{{RowKey: announcementKey, Value: raw}}}, nil
}

// letGo releases the owner row and leaves the next holder what it has to know.
// We send no more orders, so that it need not wait longer than for those sent.
func (r *Runner) letGo(ctx context.Context, next string) error {
	now := r.now()
	if !r.formerKnown || now < r.first {
		// We do not know a former holder's orders ourselves: the next one reads what we have read.
		return r.claim.Release(ctx, r.cfg.Rows, Partition, shard.Successor{Entry: next})
	}
	orders := map[string]time.Duration{}
	for vm, until := range r.announcedWith(nil) {
		if sent := r.lastOrderOf(vm); sent > 0 {
			until = min(until, r.clock.latest(sent))
		} else {
			until = r.former[vm]
		}
		if until = max(until, r.former[vm]); r.binds(until, now) {
			orders[vm] = until
		}
	}
	txn, err := r.announcementTxn(orders)
	if err != nil {
		return err
	}
	return r.claim.ReleaseWith(ctx, r.cfg.Rows, Partition, shard.Successor{Entry: next}, txn)
}
