// Package scenario measures the request path under load and faults, each time
// against the plain baseline that is kept in the code: round robin, no limits,
// no hedging, retries without a budget.
//
// A run has two phases in one process: steady load, and the same load with the
// scenario's fault. Figures are of the second phase; the first one's p99 stands
// beside them, so that ratios are of one run. Exchanges that break within
// [detection] after a fault began are counted apart: no system can know of a
// partition or of a lost VM before it shows.
package scenario
