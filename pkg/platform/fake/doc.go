// Package fake implements the interfaces of package platform in memory, for tests.
//
// [Platform] implements platform.Platform: [Platform.View] returns it as one availability
// zone sees it. Rate limits and the [Rule]s in force decide whether a call is slow, is
// refused, is lost before it takes effect, or loses its answer. Rules may be changed at any
// time; their random choices follow from a fixed seed.
//
// [Rows] and [Workers] implement the interfaces of the same names for the job service; their
// SetFault methods inject faults for each call. [Jitter] makes the order of concurrent calls
// reproducible. The package uses only package time as its clock, so that it runs under
// testing/synctest.
package fake
