//go:build !race

package shard_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
)

// scenariosPerKind is how many scenarios of each kind are run twice.
const scenariosPerKind = 40

// TestCoursesRepeat checks that a scenario is reproducible: the same seed gives the same log of the owners, whatever
// the scheduling of goroutines and the order of map iteration, so that failures can be reproduced.
func TestCoursesRepeat(t *testing.T) {
	for name, property := range map[string]func(func(*testCluster)) func(*rapid.T){
		"owner": ownerScenario, "restarts": restarts, "crashes": crashes, "dozes": suspensions, "short lists": incompleteLists,
		"mixed": mixed, "rivals": concurrentOwners, "evacuations": evacuations,
	} {
		t.Run(name, func(t *testing.T) {
			differ := 0
			for seed := range uint64(scenariosPerKind) {
				first, second := scenarioLog(t, 1000+seed, property), scenarioLog(t, 1000+seed, property)
				if first == second {
					continue
				}
				if differ++; differ == 1 {
					t.Logf("seed %d: %s", 1000+seed, firstDifference(first, second))
				}
			}
			qt.Check(t, differ, qt.Equals, 0, qt.Commentf("of %d scenarios", scenariosPerKind))
		})
	}
}

// scenarioLog returns what the owners of a scenario log in its first run.
func scenarioLog(t *testing.T, seed uint64, property func(func(*testCluster)) func(*rapid.T)) string {
	var first *testCluster
	prop.Replay(t, seed, property(func(e *testCluster) {
		if first == nil {
			first = e
		}
	}))
	return first.log.String()
}

// firstDifference describes the first line in which two logs differ.
func firstDifference(a, b string) string {
	as, bs := strings.Split(a, "\n"), strings.Split(b, "\n")
	for i := range min(len(as), len(bs)) {
		if as[i] != bs[i] {
			return "line " + as[i] + "\nis the next time " + bs[i]
		}
	}
	return "one log is longer"
}
