// Package catalog holds one version of the operators' configuration of the job service: queues,
// pools, client accounts and request limits. Package platform decodes it; entries route and
// authorize requests by it, and shard owners and package fleetops read it for scheduling and pool
// sizing.
package catalog
