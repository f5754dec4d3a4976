package node

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// local is the node as [ownership.Members] sees it; it implements [ownership.Local].
type local struct{ *Node }

// CatalogVersion returns the version of the configuration in force, 0 for none.
func (l local) CatalogVersion() int64 { return l.catalogVersion() }

// OwnersVersion returns the highest version of an owner row seen.
func (l local) OwnersVersion() int64 {
	version, _ := l.ownership.OwnersVersion()
	return version
}

// ReachesStore reports whether the table service answers.
func (l local) ReachesStore() bool { return l.rows.reachable() }

// StoreUptime returns for how long the table service has answered, 0 if it does not.
func (l local) StoreUptime() time.Duration { return l.rows.uptime() }

// EntryChanged triggers a pass over the shards, since an owner may be gone.
func (l local) EntryChanged() { l.ownership.Wake() }

// CatalogNewer fetches a newer configuration from a peer.
func (l local) CatalogNewer(c *peer.Caller, version int64) { l.fetchCatalog(c, version) }

// OwnerRowReported applies an owner row that a peer reports.
func (l local) OwnerRowReported(pool string, r platform.Row) { l.ownership.ApplyOwner(pool, r) }

// RowMalformed counts a row that cannot be used.
func (l local) RowMalformed(table string) { l.metrics.RowMalformed(table) }
