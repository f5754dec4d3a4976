// Package connlimit keeps listeners within the limits of a process.
//
// [NewRetrying] goes on accepting after a temporary error.
package connlimit
