package api

import (
	"encoding/json"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Paths of the API. Those that end in a slash are followed by parameters.
const (
	PathRows     = "/v1/rows"
	PathShards   = "/v1/shards"   // served by package node
	PathJobs     = "/v1/jobs"     // served by package node
	PathAccounts = "/v1/accounts" // served by package node
	PathZones    = "/v1/zones"    // served by package node
	PathWaves    = "/v1/waves"    // served by package node
	PathEdits    = "/v1/edits"
	PathStatus   = "/v1/status"
	PathAudit    = "/v1/audit"
	PathExplain  = "/v1/explain/"
	PathMetrics  = "/metrics"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
)

var jsonNull = json.RawMessage("null")

// orNull returns null for an absent value, which would be invalid JSON.
func orNull(v json.RawMessage) json.RawMessage {
	if len(v) == 0 {
		return jsonNull
	}
	return v
}

// FromStored converts rows of the table to API rows.
func FromStored(rows []table.StoredRow) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, Row{Kind: string(r.Key.Kind), Name: r.Key.Name, Version: r.Version, Value: orNull(r.Value)})
	}
	return out
}

// ToEdit converts an API request by actor to an edit of the table.
func ToEdit(actor string, q *EditRequest) *table.Edit {
	e := &table.Edit{ID: q.ID, Actor: actor, Operator: true, Reason: q.Reason}
	for _, c := range q.Changes {
		e.Changes = append(e.Changes, table.Change{
			Key: table.Key{Kind: schema.Kind(c.Kind), Name: c.Name}, Seen: c.Seen, Value: c.Value,
		})
	}
	return e
}

// FromEntry converts an entry of the table's log to an audit entry.
func FromEntry(e *schema.Entry) AuditEntry {
	out := AuditEntry{
		Revision: e.Revision, EditID: e.EditID, Actor: e.Actor, AtMs: e.AtMs,
		Reason: e.Reason, Evidence: e.Evidence, Changes: []AuditChange{},
	}
	for _, c := range e.Changes {
		out.Changes = append(out.Changes, AuditChange{
			Kind: string(c.Kind), Name: c.Name, Before: orNull(c.Before), After: orNull(c.After),
		})
	}
	return out
}

// FromProblems converts the problems of a rejected edit.
func FromProblems(problems []table.Problem) []Problem {
	out := make([]Problem, 0, len(problems))
	for _, p := range problems {
		out = append(out, Problem{Kind: string(p.Key.Kind), Name: p.Key.Name, Column: p.Column, Message: p.Message})
	}
	return out
}

// FromConflicts converts the conflicts of a refused edit.
func FromConflicts(conflicts []table.Conflict) []Conflict {
	out := make([]Conflict, 0, len(conflicts))
	for _, c := range conflicts {
		out = append(out, Conflict{
			Kind: string(c.Key.Kind), Name: c.Key.Name, Seen: c.Seen, Version: c.Version,
			Theirs: orNull(c.Theirs), Yours: orNull(c.Yours),
		})
	}
	return out
}
