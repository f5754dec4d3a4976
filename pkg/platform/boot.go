package platform

import (
	"strconv"
	"strings"
)

// bootTimeSeparator stands between a worker's ID and the time of a boot.
const bootTimeSeparator = "@"

// BootID names the boot of a worker that started at a time in Unix milliseconds, 0 if it
// does not say when. A worker may start again under the ID that it had; it then knows
// nothing of before, and its counts and its clock start anew.
func BootID(worker string, bootedAtMs int64) string {
	if bootedAtMs == 0 {
		return worker
	}
	return worker + bootTimeSeparator + strconv.FormatInt(bootedAtMs, 10)
}

// ParseBootID returns the ID of a boot's worker and when the boot started, 0 if that is not known.
func ParseBootID(boot string) (worker string, bootedAtMs int64) {
	worker, startedAt, found := strings.Cut(boot, bootTimeSeparator)
	bootedAtMs, err := strconv.ParseInt(startedAt, 10, 64)
	if !found || err != nil {
		return boot, 0
	}
	return worker, bootedAtMs
}
