// Package placement decides which tasks start on which workers.
//
// [Sort] orders the steps with waiting tasks, [Plan] chooses a host for each task within the
// [Budget] of its account. Decisions depend only on the candidates, the hosts with their free
// resources, and the time. Package shard makes the candidates from its jobs and carries the plan out.
package placement
