// Package gateway is the request path: it takes callers' requests, hands each
// to a backend server of the right service and gives back the whole answer.
//
// The model. [Gateway.SetTable] turns a table snapshot into a view: the routes,
// and for each service its servers, own zone first. A request loads the view
// once, matches its route and makes one or more attempts. An attempt claims a
// server by counting itself in flight there and then looking whether the server
// is still open; closing a server sets its marks first and reads the count
// after, so that a count of zero at a closed server stays zero. That order is
// what a drain relies on.
//
// What is reported of a request is an [Outcome]. It is OutcomeNotRun only when
// no byte of the request was written to a connection of a backend server; the
// connection is sealed before its count is read, so that no byte can follow.
// An answer that breaks off after it has begun aborts the caller's connection:
// it is never ended as if whole.
//
// The standard transport by itself sends some requests again when a kept
// connection dies; every request gets a body that cannot be rewound, which
// turns that off. A connection carries one exchange at a time and is closed,
// not reused, when an attempt is given up, so that a late answer meets nobody.
package gateway
