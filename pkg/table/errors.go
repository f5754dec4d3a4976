package table

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// ErrGap reports a log entry that does not follow the current revision.
type ErrGap struct {
	Have, Got int
}

// Error names both revisions.
func (e ErrGap) Error() string {
	return fmt.Sprintf("at revision %d, got entry %d, which is not the next one", e.Have, e.Got)
}

// ErrUnknownKind reports a row of a kind that this version does not know.
type ErrUnknownKind struct {
	Kind schema.Kind
}

// Error names the kind.
func (e ErrUnknownKind) Error() string { return fmt.Sprintf("unknown kind of row %q", e.Kind) }

// ErrNoChange reports an edit that would change nothing.
type ErrNoChange struct{}

// Error states that nothing would change.
func (ErrNoChange) Error() string { return "every row already has its value" }

// Conflict describes a row that changed after it was read.
type Conflict struct {
	Key     Key             `json:"key"`
	Seen    int             `json:"seen"`
	Version int             `json:"version"`
	Theirs  json.RawMessage `json:"theirs"`
	Yours   json.RawMessage `json:"yours"`
}

// ErrConflict reports rows that changed after they were read; nothing was written.
type ErrConflict struct {
	Conflicts []Conflict
}

// Error shows both values of each row.
func (e ErrConflict) Error() string {
	lines := make([]string, 0, len(e.Conflicts))
	for _, c := range e.Conflicts {
		lines = append(lines, fmt.Sprintf("%s: seen at version %d, now at %d: theirs %s, yours %s",
			c.Key, c.Seen, c.Version, formatValue(c.Theirs), formatValue(c.Yours)))
	}
	return strings.Join(lines, "\n")
}

func formatValue(v json.RawMessage) string {
	if Absent(v) {
		return "no row"
	}
	return string(v)
}

// Problem is a violation of a constraint by a row or by the table as a whole.
type Problem struct {
	Key     Key    `json:"key"`
	Column  string `json:"column"`
	Message string `json:"message"`
}

// String returns the row, column and message.
func (p Problem) String() string {
	if p.Column == "" {
		return fmt.Sprintf("%s: %s", p.Key, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Key, p.Column, p.Message)
}

// ErrRejected reports an edit that would make the table invalid; nothing was written.
type ErrRejected struct {
	Problems []Problem
}

// Error returns one line per problem.
func (e ErrRejected) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
