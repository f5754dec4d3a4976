// Package connlimit keeps listeners within the limits of a process.
//
// [NewRetrying] goes on accepting after a temporary error. [New] also limits the connections that are open at a time: at
// the limit it closes one that waits for a request. [ForProcess] derives the limits of a process's listeners from its
// limits of descriptors and memory, so that descriptors are left for connections that the process opens itself.
package connlimit
