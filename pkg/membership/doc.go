// Package membership tracks the other entries and the health of the backend servers.
//
// An entry is one server process of the gateway. [Peers] keeps a link to each other entry that the
// settings or the platform's VM list name. It exchanges state with one peer per interval, in
// round-robin order, so that the cost does not grow with the number of entries, and pushes new
// table changes at once to a random few (gossip). A peer's state only moves forward: one from an
// earlier incarnation, or with a lower revision, is ignored.
//
// [Servers] combines the platform's VM list with the entry's own health probes and marks backend
// servers closed (out of rotation) or open in the request path. Each source alone can close a server; the list is
// ignored for a VM whose row in the table is newer than the list.
//
// Package entry runs both; package control asks them for health and for requests in flight.
package membership
