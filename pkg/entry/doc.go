// Package entry is one entry daemon as a library: everything that stands
// between callers and backend servers on one VM.
//
// [New] binds the listeners; [Entry.Run] runs a group of actors until one ends:
// the caller listener, the operators' interface, the peer listener, the links
// to peers, the follower of backend servers, the follower of the store and the
// control loop. Entries are all alike and keep nothing: an entry starts empty,
// takes the table from the store or from peers, and serves requests only when
// it holds the highest revision that any of them it can reach knows.
//
// [Entry.Stop] begins a planned stop: the entry reports that it is not ready,
// goes on serving while the balancer takes note, finishes what is in flight,
// however long that takes, and then ends. Ending the context of Run cuts it short.
package entry
