package platform

import (
	"strconv"
	"strings"
)

// bornSeparator stands between a worker's ID and the time of a boot.
const bornSeparator = "@"

// BootID names the boot of a worker that started at a time in Unix milliseconds, 0 if it
// does not say when. A worker may start again under the ID that it had; it then knows
// nothing of before, and its counts and its clock start anew.
func BootID(worker string, born int64) string {
	if born == 0 {
		return worker
	}
	return worker + bornSeparator + strconv.FormatInt(born, 10)
}

// ParseBootID returns the ID of a boot's worker and when the boot started, 0 if that is not known.
func ParseBootID(boot string) (worker string, born int64) {
	worker, at, found := strings.Cut(boot, bornSeparator)
	born, err := strconv.ParseInt(at, 10, 64)
	if !found || err != nil {
		return boot, 0
	}
	return worker, born
}
