package node

import (
	"context"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// evacuation is an evacuated availability zone: one that the operator has taken out of use.
type evacuation struct {
	zone  string
	since time.Duration // when this entry learned of it
}

// evacuations are the evacuated zones. Each is set by an operator row and in force as long as the
// row exists.
type evacuations struct {
	mu     sync.Mutex
	loaded bool                  // the rows were read at least once
	rows   map[string]evacuation // by key
}

// contains reports whether a zone is evacuated.
func (e *evacuations) contains(zone string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, row := range e.rows {
		if row.zone == zone {
			return true
		}
	}
	return false
}

// isLoaded reports whether the rows have been read; until then an entry must not start tasks.
func (e *evacuations) isLoaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// add adds a row and reports whether it is new.
func (e *evacuations) add(key, zone string, now time.Duration) (added bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.rows[key]; known {
		return false
	}
	e.rows[key] = evacuation{zone: zone, since: now}
	return true
}

// remove removes a row and returns it; ok is false if there was none.
func (e *evacuations) remove(key string) (ended evacuation, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended, ok = e.rows[key]
	delete(e.rows, key)
	return ended, ok
}

// markLoaded records that all rows were read, and returns the keys of known rows that no longer
// exist.
func (e *evacuations) markLoaded(listed map[string]bool) (missing []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded = true
	for key := range e.rows {
		if !listed[key] {
			missing = append(missing, key)
		}
	}
	return missing
}

// all returns the evacuated zones, each with the time when this entry learned of it.
func (e *evacuations) all() map[string]time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	zones := make(map[string]time.Duration, len(e.rows))
	for _, row := range e.rows {
		zones[row.zone] = row.since
	}
	return zones
}

// listOperatorRows reads all operator rows. Evacuations and waves whose row is missing are ended, since the
// feed may have lost the removal.
func (n *Node) listOperatorRows(ctx context.Context) (version int64, err error) {
	listed := map[string]bool{}
	version, err = n.listAll(ctx, n.source.CatalogTable, func(r platform.Row) {
		listed[r.Key] = true
		n.applyOperatorRow(r)
	})
	if err != nil {
		return 0, err
	}
	n.keepWaves(listed)
	for _, key := range n.evacuations.markLoaded(listed) {
		n.endEvacuation(key)
	}
	return version, nil
}

// applyEvacuation applies an operator row if it describes an evacuation. A malformed row changes
// nothing, so an evacuated zone remains so.
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
	case ok && n.evacuations.add(r.Key, zone, n.clock.Now()):
		n.metrics.evacuatedZones.Set(float64(len(n.evacuations.all())))
		n.log.Warn().Str("event", "zone_evacuated").Str("zone", zone).Int64("version", r.Version).Send()
	}
}

func (n *Node) endEvacuation(key string) {
	ended, ok := n.evacuations.remove(key)
	if !ok {
		return
	}
	n.metrics.evacuatedZones.Set(float64(len(n.evacuations.all())))
	n.log.Info().Str("event", "zone_returned").Str("zone", ended.zone).Dur("after", n.clock.Now()-ended.since).Send()
}

// allZonesEvacuated reports whether all zones that have entries are evacuated.
func (n *Node) allZonesEvacuated() bool {
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
