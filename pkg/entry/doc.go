// Package entry implements the entry daemon, which forwards callers' requests to backend
// servers and runs the fleet control loop. The gannetwelld command and tests create entries
// with it.
//
// [New] binds the listeners. [Entry.Run] runs these components until one of them ends: the
// callers', operators' and peers' listeners, the connections to peers, the health probes of
// backend servers, the table replica and the control loop. Entries have no persistent state. An
// entry starts empty, loads the table from the store or from peers, and accepts requests once
// it has the highest revision known to the store and the peers that it can reach.
//
// [Entry.Stop] starts a graceful shutdown: the entry reports that it is not ready, keeps
// serving until load balancers have noticed, and ends after all requests in flight are done,
// without a time limit. Cancelling the context of Run ends it immediately.
package entry
