package node

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// local implements [ownership.Local].
type local struct{ *Node }

// CatalogVersion implements ownership.Local.
func (l local) CatalogVersion() int64 { return l.catalogVersion() }

// OwnersVersion implements ownership.Local.
func (l local) OwnersVersion() int64 {
	version, _ := l.ownership.OwnersVersion()
	return version
}

// ReachesStore implements ownership.Local.
func (l local) ReachesStore() bool { return l.rows.reachable() }

// StoreUptime implements ownership.Local.
func (l local) StoreUptime() time.Duration { return l.rows.uptime() }

// EntryChanged implements ownership.Local.
func (l local) EntryChanged() { l.ownership.Wake() }

// CatalogNewer implements ownership.Local.
func (l local) CatalogNewer(c *peer.Caller, version int64) { l.fetchCatalog(c, version) }

// OwnerRowReported implements ownership.Local.
func (l local) OwnerRowReported(pool string, r platform.Row) { l.ownership.ApplyOwner(pool, r) }
