package shard

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestCountable checks which ends are applied after each of several reports: those behind a gap wait
// for the next report and are applied then, even if it omits them.
func TestCountable(t *testing.T) {
	for name, tc := range map[string]struct {
		seen  int64
		lists [][]int64
		want  [][]int64
	}{
		"in order":                      {lists: [][]int64{{1, 2, 3}}, want: [][]int64{{1, 2, 3}}},
		"in any order":                  {lists: [][]int64{{3, 1, 2}}, want: [][]int64{{1, 2, 3}}},
		"one is missing once":           {lists: [][]int64{{1, 3}, {1, 2, 3}}, want: [][]int64{{1}, {1, 2, 3}}},
		"a different one next":          {lists: [][]int64{{1, 3}, {1, 2}}, want: [][]int64{{1}, {1, 2, 3}}},
		"a number that was not used":    {lists: [][]int64{{1, 3}, {1, 3}}, want: [][]int64{{1}, {1, 3}}},
		"a later one is missing too":    {lists: [][]int64{{2}, {2, 4}, {2, 3, 4}}, want: [][]int64{{}, {2}, {2, 3, 4}}},
		"first report after a takeover": {lists: [][]int64{{18}, {17, 18}}, want: [][]int64{{}, {17, 18}}},
		"some were applied before":      {seen: 5, lists: [][]int64{{5, 6, 7}}, want: [][]int64{{5, 6, 7}}},
	} {
		t.Run(name, func(t *testing.T) {
			e := endTracker{complete: tc.seen}
			for i, list := range tc.lists {
				ready, _ := e.countable(listed(list))
				got := numbers(ready)
				qt.Check(t, got, qt.DeepEquals, tc.want[i])
				for _, n := range got {
					e.complete = max(e.complete, n)
				}
			}
		})
	}
}

func listed(numbers []int64) (list []platform.AttemptEnd) {
	for _, n := range numbers {
		list = append(list, platform.AttemptEnd{Seq: n})
	}
	return list
}

func numbers(list []platform.AttemptEnd) []int64 {
	ns := []int64{}
	for _, e := range list {
		ns = append(ns, e.Seq)
	}
	return ns
}

// TestEndsAreAppliedOnce checks which ends take effect with each of several reports: all listed ones at
// once, also behind a gap, and none twice.
func TestEndsAreAppliedOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		lists [][]int64
		want  [][]int64
	}{
		"in order":                   {lists: [][]int64{{1, 2}, {1, 2, 3}}, want: [][]int64{{1, 2}, {3}}},
		"behind a gap":               {lists: [][]int64{{1, 3}, {1, 2, 3}}, want: [][]int64{{1, 3}, {2}}},
		"missing twice":              {lists: [][]int64{{3}, {3, 4}, {3, 4}}, want: [][]int64{{3}, {4}, {}}},
		"listed after being counted": {lists: [][]int64{{3}, {3}, {2, 3}}, want: [][]int64{{3}, {}, {}}},
	} {
		t.Run(name, func(t *testing.T) {
			e := endTracker{}
			for i, list := range tc.lists {
				qt.Check(t, numbers(e.unapplied(listed(list))), qt.DeepEquals, tc.want[i])
				ready, _ := e.countable(listed(list))
				for _, x := range ready {
					e.markComplete(max(e.complete, x.Seq), "")
				}
			}
		})
	}
}

// TestReleaseNamesEndsBehindGap guards against a release that leaves out a worker, or the task there, whose
// end is applied but may be neither stored nor acknowledged: the next owner would start the task again.
// A worker whose leases have lapsed does not keep its VM from being emptied.
func TestReleaseNamesEndsBehindGap(t *testing.T) {
	s := &session{ref: platform.WorkerRef{Boot: "w1"}, attemptsKnown: true}
	s.ends.countable([]platform.AttemptEnd{{Seq: 3, Task: "t3"}})
	qt.Check(t, s.idle(), qt.IsFalse)
	qt.Check(t, s.finalRecordEntry(1, 0).Tasks, qt.DeepEquals, []string{"t3"})
	s.attemptsKnown = false
	qt.Check(t, s.idle(), qt.IsTrue)
}

// TestIdleAfterCutReport guards against emptying the VM of a worker that keeps ends beyond those it lists: they
// would be lost, and their tasks run again.
func TestIdleAfterCutReport(t *testing.T) {
	s := &session{attemptsKnown: true, moreEnds: true}
	qt.Check(t, s.idle(), qt.IsFalse)
	s.attemptsKnown = false
	qt.Check(t, s.idle(), qt.IsTrue)
}
