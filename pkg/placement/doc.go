// Package placement decides which tasks start on which workers.
//
// Decisions are pure functions of the jobs, the hosts with their free
// resources, and the time; whoever calls them carries them out.
package placement
