// Package startrate limits how fast a shard owner starts tasks while its own CPU or network link
// is saturated.
//
// Without a limit, starts queue up together with lease renewals, so that the leases of tasks just
// started expire and the tasks are started again. A [Limiter] detects saturation by the fastest
// answer to any order: a slow worker delays only its own orders, a saturated owner delays all.
// Package shard reports the answers to the limiter and asks it before it starts tasks.
package startrate
