// Package httpc is an HTTP/1.1 client with pooled connections for many short requests. Package
// platform at the root of the module uses it for the platform's services and the workers.
//
// It differs from net/http in three ways. It uses no goroutines per connection and reuses
// header buffers, which lowers the CPU time per request. It does not resend a request that the
// host may have received, unless it is a GET. And if a connection hangs, idle connections to
// the same host that have not received data since are no longer used, as they have probably
// failed too.
package httpc
