package table

import (
	"encoding/json"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/config"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Change sets one row to a value or removes it.
type Change struct {
	Key
	Seen  int             `json:"seen"`  // version the change is based on, 0 for no row
	Value json.RawMessage `json:"value"` // absent or null removes the row
}

// Edit is a set of changes that are applied together or not at all.
type Edit struct {
	ID       string   `json:"id"`       // the same for all attempts
	Actor    string   `json:"actor"`    // operator or component that makes the edit
	Operator bool     `json:"operator"` // made by an operator, who may not write columns owned by control
	Reason   string   `json:"reason"`   // for the log
	Evidence string   `json:"evidence"`
	Changes  []Change `json:"changes"`
}

// Prepare checks an edit and returns the log entry and snapshot that result from it. It returns
// [ErrConflict] if a row is not at the version seen, [ErrRejected] if a value is invalid or the
// resulting table has a problem that it did not have before, and [ErrNoChange] if every row already
// has its value.
func (s *Snapshot) Prepare(e *Edit, nowMs int) (entry *schema.Entry, next *Snapshot, err error) {
	if problems := checkEdit(e); len(problems) > 0 {
		return nil, nil, ErrRejected{Problems: problems}
	}
	if conflicts := s.conflicts(e); len(conflicts) > 0 {
		return nil, nil, ErrConflict{Conflicts: conflicts}
	}
	entry = &schema.Entry{
		Revision: s.Revision + 1, EditID: e.ID, Actor: e.Actor, AtMs: nowMs,
		Reason: e.Reason, Evidence: e.Evidence,
	}
	for _, c := range e.Changes {
		after, err := completeRow(c)
		if err != nil {
			return nil, nil, err
		}
		before := s.Value(c.Key)
		if equalJSON(before, after) {
			continue
		}
		entry.Changes = append(entry.Changes, schema.Change{Kind: c.Kind, Name: c.Name, Before: before, After: after})
	}
	if len(entry.Changes) == 0 {
		return nil, nil, ErrNoChange{}
	}
	next, err = s.Apply(entry)
	if err != nil {
		return nil, nil, err
	}
	problems := append(s.newProblems(next), checkTransition(s, next, entry, e.Operator)...)
	if len(problems) > 0 {
		return nil, nil, ErrRejected{Problems: problems}
	}
	return entry, next, nil
}

// newProblems returns the problems of the table after an edit that it did not have before.
func (s *Snapshot) newProblems(next *Snapshot) []Problem {
	problems := next.Check()
	if len(problems) == 0 {
		return nil
	}
	before := s.Check()
	return slices.DeleteFunc(problems, func(p Problem) bool { return slices.Contains(before, p) })
}

// checkEdit returns the problems of the edit itself.
func checkEdit(e *Edit) (problems []Problem) {
	seen := map[Key]bool{}
	for _, c := range e.Changes {
		switch {
		case !KnownKind(c.Kind):
			problems = append(problems, Problem{Key: c.Key, Message: "unknown kind of row"})
		case c.Name == "":
			problems = append(problems, Problem{Key: c.Key, Message: "a row needs a name"})
		case seen[c.Key]:
			problems = append(problems, Problem{Key: c.Key, Message: "the edit changes this row twice"})
		}
		seen[c.Key] = true
	}
	return problems
}

// completeRow validates a value against its schema and fills in defaults; an absent value stays
// absent.
func completeRow(c Change) (full json.RawMessage, err error) {
	if Absent(c.Value) {
		return nil, nil
	}
	op := kinds[c.Kind]
	full, err = config.Complete(c.Key.String(), c.Value, config.TargetRow(op.definition))
	if invalid, ok := err.(config.ErrInvalid); ok {
		rejected := ErrRejected{}
		for _, p := range invalid.Problems {
			rejected.Problems = append(rejected.Problems, Problem{Key: c.Key, Column: p.Field, Message: p.Want})
		}
		return nil, rejected
	}
	if err != nil {
		return nil, err
	}
	return canonical(op, full)
}

// canonical re-encodes a row in the field order of its type, so that equal rows have equal
// bytes.
func canonical(op kindOps, full json.RawMessage) (out json.RawMessage, err error) {
	scratch := Empty()
	op.clone(scratch)
	if err := op.put(scratch, "row", full); err != nil {
		return nil, err
	}
	return op.value(scratch, "row"), nil
}

func equalJSON(a, b json.RawMessage) bool {
	return Absent(a) && Absent(b) || string(a) == string(b)
}

// conflicts returns the rows of the edit that are not at the version seen.
func (s *Snapshot) conflicts(e *Edit) (out []Conflict) {
	for _, c := range e.Changes {
		if s.Version(c.Key) == c.Seen {
			continue
		}
		out = append(out, Conflict{
			Key: c.Key, Seen: c.Seen, Version: s.Version(c.Key),
			Theirs: s.Value(c.Key), Yours: c.Value,
		})
	}
	return out
}
