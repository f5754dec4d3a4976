// Package once ensures that a request with an idempotency key runs at most once, whichever
// entry it reaches. Package gateway calls it before it sends such a request to a backend
// server.
//
// A key is claimed by creating an item in the platform's table, with a digest of the request
// body, the entry and a random token. Claims made at about the same time share one transaction,
// and transactions are at least [MinCommitInterval] apart, which bounds the load on the table.
// If the response to a transaction is lost, the item is read back: the claim succeeded if the
// token matches. A request whose key was claimed before is never run; the entry that ran it
// replays the saved response as long as it holds it.
//
// While the table service is unavailable no key can be claimed, and requests with keys are rejected
// without running, although earlier requests with the same keys may have run. A claim is
// released, in one attempt that is never retried, if its request certainly did not run.
package once
