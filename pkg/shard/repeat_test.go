//go:build !race

package shard_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
)

// repeatedCourses is how many courses of each kind are played twice.
const repeatedCourses = 40

// TestCoursesRepeat: the same seed failed in one run of three and passed in the others, so that
// nothing could be traced by it (TestRestarts, seed 14215917: of 90 runs 41 failed). What differs
// between two runs is the order of what happens at the same instant of virtual time: the runtime
// shuffles timers that are due together, and calls that were sent together were answered together;
// goroutines that one event wakes run on several processors; maps are gone through in any order.
// Courses have to repeat to the line of the owners' logs.
func TestCoursesRepeat(t *testing.T) {
	for name, course := range map[string]func(func(*estate)) func(*rapid.T){
		"owner": property, "restarts": restarts, "crashes": crashes, "dozes": dozes, "short lists": shortLists,
		"mixed": mixed, "rivals": rivals, "evacuations": evacuations,
	} {
		t.Run(name, func(t *testing.T) {
			differ := 0
			for seed := range uint64(repeatedCourses) {
				first, second := courseLog(t, 1000+seed, course), courseLog(t, 1000+seed, course)
				if first == second {
					continue
				}
				if differ++; differ == 1 {
					t.Logf("seed %d: %s", 1000+seed, firstDifference(first, second))
				}
			}
			qt.Check(t, differ, qt.Equals, 0, qt.Commentf("of %d courses", repeatedCourses))
		})
	}
}

// courseLog is what the owners of a course log, the first time that it is played.
func courseLog(t *testing.T, seed uint64, course func(func(*estate)) func(*rapid.T)) string {
	var first *estate
	prop.Replay(t, seed, course(func(e *estate) {
		if first == nil {
			first = e
		}
	}))
	return first.log.String()
}

// firstDifference is the first line in which two logs differ.
func firstDifference(a, b string) string {
	as, bs := strings.Split(a, "\n"), strings.Split(b, "\n")
	for i := range min(len(as), len(bs)) {
		if as[i] != bs[i] {
			return "line " + as[i] + "\nis the next time " + bs[i]
		}
	}
	return "one log is longer"
}
