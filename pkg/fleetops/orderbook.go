package fleetops

import (
	"cmp"
	"slices"
	"time"
)

// noWave stands for a wave's ID in the order for a move.
const noWave = 0

// announcedOrder is an order for one VM that may be sent, or may have been.
type announcedOrder struct {
	VM    string        `msgpack:"v"`
	Until time.Duration `msgpack:"u"`           // latest time at which it may be sent, on the table service's clock
	Wave  int           `msgpack:"w,omitempty"` // ID of the maintenance wave, noWave for a move
	Boot  string        `msgpack:"b,omitempty"` // worker of the VM when the order was announced; empty as stored by earlier versions
}

// orderBook holds announced orders by VM: the latest for each wave, and the latest move.
type orderBook map[string][]announcedOrder

// newOrderBook returns a book of some orders.
func newOrderBook(orders []announcedOrder) orderBook {
	b := orderBook{}
	for _, o := range orders {
		b.add(o)
	}
	return b
}

// add adds an order, in place of an earlier one for the same VM and wave.
func (b orderBook) add(o announcedOrder) {
	known := b[o.VM]
	at := slices.IndexFunc(known, func(k announcedOrder) bool { return k.Wave == o.Wave })
	switch {
	case at < 0:
		b[o.VM] = append(known, o)
	case o.Until >= known[at].Until:
		known[at] = o
	}
}

// find returns the order for a VM and wave, the zero value if there is none.
func (b orderBook) find(vm string, wave int) (o announcedOrder, ok bool) {
	for _, o := range b[vm] {
		if o.Wave == wave {
			return o, true
		}
	}
	return o, false
}

// until returns the latest time of the orders for a VM; ok is false if there are none.
func (b orderBook) until(vm string) (until time.Duration, ok bool) {
	for _, o := range b[vm] {
		if !ok || o.Until > until {
			until, ok = o.Until, true
		}
	}
	return until, ok
}

// sorted returns all orders by VM, the latest of a VM last: earlier versions use only that one.
func (b orderBook) sorted() (all []announcedOrder) {
	for _, orders := range b {
		all = append(all, orders...)
	}
	slices.SortFunc(all, func(a, b announcedOrder) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Until, b.Until), cmp.Compare(a.Wave, b.Wave))
	})
	return all
}

// OrderAnswer is what is known of the orders that a holder sent for one VM and wave.
type OrderAnswer string

// Values of OrderAnswer.
const (
	OrderUnanswered OrderAnswer = "unanswered" // one of them may have been carried out, or may be yet
	OrderAccepted   OrderAnswer = "accepted"
	OrderRefused    OrderAnswer = "refused" // none was carried out
)

// sentOrder is the last order that this holder sent for a VM and wave.
type sentOrder struct {
	answer   OrderAnswer   // to all orders for the VM and wave
	sentAt   time.Duration // on the entry's clock
	endedAt  time.Duration // when its answer came or its call timed out
	previous OrderAnswer   // to those before it, empty for none
}

// mayAppear reports whether the order may be carried out yet, or have been without showing in the VM list.
func (o sentOrder) mayAppear(now time.Duration) bool { return now < o.endedAt+orderTransit+maxListLag }

// sentOrders holds the orders that this holder sent, by VM and wave.
type sentOrders map[string]map[int]sentOrder

// begin records that an order is about to be sent.
func (s sentOrders) begin(vm string, wave int, now time.Duration) {
	if s[vm] == nil {
		s[vm] = map[int]sentOrder{}
	}
	s[vm][wave] = sentOrder{answer: OrderUnanswered, sentAt: now, endedAt: now, previous: s[vm][wave].answer}
}

// end records the answer to an order. A refusal tells nothing of an earlier one without an answer.
func (s sentOrders) end(vm string, wave int, now time.Duration, answer OrderAnswer) {
	o, ok := s[vm][wave]
	if !ok {
		return
	}
	if answer == OrderRefused && o.previous != "" {
		answer = o.previous
	}
	o.answer, o.endedAt = answer, now
	s[vm][wave] = o
}

// forget drops the orders for a VM and wave that are not kept.
func (s sentOrders) forget(keep func(vm string, wave int, o sentOrder) bool) {
	for vm, orders := range s {
		for wave, o := range orders {
			if !keep(vm, wave, o) {
				delete(orders, wave)
			}
		}
		if len(orders) == 0 {
			delete(s, vm)
		}
	}
}
