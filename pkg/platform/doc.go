// Package platform defines the interfaces through which gannetwell uses the
// platform it runs on: a table service, an object store, the VM service, the
// advice service, and orders to workers.
//
// The interfaces do not depend on a transport. Callers distinguish three kinds
// of errors: [ErrRefused], the platform refused the call; [ErrNotDone], the
// call had no effect and can be retried; [ErrUnknown], the call may have taken
// effect. [Rows] and [Workers] add errors of their own.
//
// There are two sets of interfaces. [Platform] is used by entries, the gannetwell
// servers that route requests, for their replicated table (package replica) and
// for VMs (package control); package rest implements it over HTTP and JSON.
// [Rows], [Workers], [Machines] and [Adviser] are used by the job service
// (packages shard, node and fleetops); the module's top-level package platform
// implements them for the users' platform. Package fake implements both sets in
// memory, except Machines and Adviser.
package platform
