package platform

import (
	"strconv"
	"strings"
)

// bootTimeSeparator separates a worker's ID from its boot time.
const bootTimeSeparator = "@"

// BootID identifies one boot of a worker. bootedAtMs is in Unix milliseconds, 0 if unknown.
// A restarted worker may keep its ID, but it has lost its state, and its counters and its
// clock start over.
func BootID(worker string, bootedAtMs int64) string {
	if bootedAtMs == 0 {
		return worker
	}
	return worker + bootTimeSeparator + strconv.FormatInt(bootedAtMs, 10)
}

// ParseBootID returns the worker's ID and the boot time in Unix milliseconds, 0 if unknown.
func ParseBootID(boot string) (worker string, bootedAtMs int64) {
	worker, startedAt, found := strings.Cut(boot, bootTimeSeparator)
	bootedAtMs, err := strconv.ParseInt(startedAt, 10, 64)
	if !found || err != nil {
		return boot, 0
	}
	return worker, bootedAtMs
}
