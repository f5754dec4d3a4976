package node

import (
	"context"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// evacuation is an availability zone that is out of use.
type evacuation struct {
	zone  string
	since time.Duration // when this entry learned of it
}

// evacuations are the zones that the operator has taken out of use: each by a row, which is in
// force for as long as it is there.
type evacuations struct {
	mu    sync.Mutex
	known bool                  // the rows were read once
	rows  map[string]evacuation // by key
}

// has tells whether a zone is out of use.
func (e *evacuations) has(zone string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, row := range e.rows {
		if row.zone == zone {
			return true
		}
	}
	return false
}

// read tells whether the rows are known: an entry that has not read them must start nothing.
func (e *evacuations) read() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// begin takes a row; it reports whether it is a new one.
func (e *evacuations) begin(key, zone string, now time.Duration) (begun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.rows[key]; known {
		return false
	}
	e.rows[key] = evacuation{zone: zone, since: now}
	return true
}

// end forgets a row, and returns what it said; ok is false if there was none.
func (e *evacuations) end(key string) (ended evacuation, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended, ok = e.rows[key]
	delete(e.rows, key)
	return ended, ok
}

// settle notes that all rows were read, and returns the keys of those that are not there any more.
func (e *evacuations) settle(listed map[string]bool) (missing []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = true
	for key := range e.rows {
		if !listed[key] {
			missing = append(missing, key)
		}
	}
	return missing
}

// all returns the zones that are out of use, and since when.
func (e *evacuations) all() map[string]time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	zones := make(map[string]time.Duration, len(e.rows))
	for _, row := range e.rows {
		zones[row.zone] = row.since
	}
	return zones
}

// listOperator reads all that the operator has written. The history of changes may have been
// forgotten, and with it that a row was removed.
func (n *Node) listOperator(ctx context.Context) (version int64, err error) {
	listed := map[string]bool{}
	version, err = n.listAll(ctx, n.source.CatalogTable, func(r platform.Row) {
		listed[r.Key] = true
		n.applyOperator(r)
	})
	if err != nil {
		return 0, err
	}
	for _, key := range n.evacuations.settle(listed) {
		n.endEvacuation(key)
	}
	return version, nil
}

// applyEvacuation takes a row of the operator's if it is about a zone out of use. A row that can't
// be read is passed over; a zone that it took out of use before stays so.
func (n *Node) applyEvacuation(r platform.Row) {
	if r.Removed {
		n.endEvacuation(r.Key)
		return
	}
	zone, ok, err := n.source.DecodeEvacuation(r.Key, r.Value)
	switch {
	case err != nil:
		n.metrics.RowMalformed(n.source.CatalogTable)
		n.log.Error().Str("event", "evacuation_malformed").Str("key", r.Key).Int64("version", r.Version).Err(err).Send()
	case ok && n.evacuations.begin(r.Key, zone, n.clock.Now()):
		n.metrics.zonesOut.Set(float64(len(n.evacuations.all())))
		n.log.Warn().Str("event", "zone_evacuated").Str("zone", zone).Int64("version", r.Version).Send()
	}
}

func (n *Node) endEvacuation(key string) {
	ended, ok := n.evacuations.end(key)
	if !ok {
		return
	}
	n.metrics.zonesOut.Set(float64(len(n.evacuations.all())))
	n.log.Info().Str("event", "zone_returned").Str("zone", ended.zone).Dur("after", n.clock.Now()-ended.since).Send()
}

// nowhereToStart tells whether all zones that have entries are out of use.
func (n *Node) nowhereToStart() bool {
	out := n.evacuations.all()
	if len(out) == 0 {
		return false
	}
	for _, zone := range n.members.Zones() {
		if _, isOut := out[zone]; !isOut {
			return false
		}
	}
	return true
}
