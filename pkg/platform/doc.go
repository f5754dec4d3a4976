// Package platform says what gannetwell needs of the platform it runs on: a
// transactional table service, an object store, a list of VMs that lags, and
// operations on VMs and tasks.
//
// The interfaces are narrow and carry no transport. Every error of an
// implementation is, or wraps, one of three types that callers must tell apart:
// [ErrRefused], the platform looked at the call and said no; [ErrNotDone], the
// call certainly had no effect; [ErrUnknown], it may have had its effect.
// Package rest is the adapter to HTTP and JSON, package fake a stand-in.
package platform
