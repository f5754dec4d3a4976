// Package load generates the load of the demo and the scenarios. A Balancer selects
// ready entries; a Generator sends the requests of each route at a mean rate, independent
// of earlier responses (open loop), and verifies every response.
package load
