// Package membership knows who is there: the other entries, and the backend
// servers, each with how sure it is.
//
// [Peers] keeps a link to each other entry that the settings or the platform's
// VM list name, exchanges state with one of them in turn at a fixed rate, so
// that the cost does not grow with their number, and pushes each new table
// entry at once. What a peer says of itself only moves forward: a state from
// an earlier process of the same name, or with a lower revision, is passed over.
//
// [Servers] brings together what the platform's list and the entry's own
// probes say of backend servers, and marks them at the request path. Each
// source can close a server alone; the list is not believed about a VM whose
// row in the table is newer than the list.
package membership
