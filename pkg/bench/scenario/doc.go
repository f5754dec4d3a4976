// Package scenario measures the request path under load and faults, once with the
// product's settings and once with a baseline: round robin, no concurrency limits, no
// hedging, retries without a budget. gannetbench load calls Run.
//
// A run has two phases in one process: steady load, and load with the scenario's fault.
// Results are those of the second phase, with the p99 latency of the first for
// comparison. Exchanges that break within [detectionWindow] of a fault are counted
// separately, since no system can avoid a fault before it is detectable.
package scenario
