package shard

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestFinalRecordEntry checks that a release names each task once that may be at a worker, whichever owner has
// started it.
func TestFinalRecordEntry(t *testing.T) {
	const term = 3
	s := &session{
		ref: platform.WorkerRef{Boot: "w1"}, attemptsKnown: true,
		attempts: map[string]*workerAttempt{"own": {}, "adopted": {}},
		foreign:  map[foreignKey]*foreignAttempt{{task: "foreign", number: 1}: {}},
		former:   formerTasks{pending: true, listed: true, names: []string{"former", "adopted"}},
	}
	s.ends.markComplete(1, "unstored")
	entry := s.finalRecordEntry(term, 0)
	qt.Check(t, entry.ReleaseTerm, qt.Equals, int64(term))
	qt.Check(t, entry.Tasks, qt.DeepEquals, []string{"adopted", "foreign", "former", "own", "unstored"})
	s.former.listed = false
	qt.Check(t, s.finalRecordEntry(term, 0).ReleaseTerm, qt.Equals, int64(0), qt.Commentf("any task may be there"))
}
