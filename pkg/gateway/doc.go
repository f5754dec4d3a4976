// Package gateway is the HTTP reverse proxy of an entry: it matches a caller's request to a
// route, forwards it to a backend server of the route's service and relays the response.
// Package entry creates one [Gateway], serves it on the callers' listener and keeps its table
// and server states up to date.
//
// [Gateway.SetTable] turns a table snapshot into a view: the routes, and for each service its
// backend servers, those of the entry's own zone first. A request loads the view once, matches
// its route and makes one or more attempts. An attempt first increments the server's in-flight
// count and then checks that the server is open; closing a server sets its flags first and
// reads the count afterwards. A count of zero on a closed server therefore stays zero, which
// draining relies on.
//
// The result of a request is reported as an [Outcome]. OutcomeNotRun means that no byte of the
// request was written to a connection of a backend server; the connection rejects writes before its
// byte count is read, so no byte can follow. If a response fails after part of it was sent, the
// caller's connection is aborted, so that a truncated response is never taken for a complete
// one.
//
// net/http resends some requests by itself when an idle connection turns out to be closed.
// Every outgoing request has a body that cannot be rewound, which disables that. A connection
// carries one attempt at a time and is closed when an attempt is abandoned, so a late response
// is never matched to another request.
//
// Subpackages: balance chooses servers, limit bounds concurrency and rates, retry holds the
// retry budget and the hedging delay, and once stores idempotency keys.
package gateway
