// Package fake is a stand-in for the platform, in memory.
//
// One [Platform] holds the table, the objects, the VMs and the tasks of a
// deployment. [Platform.View] gives the platform as one availability zone
// sees it: rate limits and the [Rule]s in force decide, call by call, whether
// it is slow, refuses, loses the call before it has its effect, or loses the
// answer after it. Rules may be changed at any time; chances come from a fixed
// seed. It reads time by package time only, so that it runs under
// testing/synctest.
package fake
