package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/service/api"
)

const (
	auditPageSize = 500 // log entries per read
	maxAuditPages = 40  // reads per request
)

// decodeStrict decodes one JSON value and refuses unknown fields.
func decodeStrict(r io.Reader, v any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// auditFilter selects entries of the audit trail.
type auditFilter struct {
	kind, name, actor string
	fromMs, toMs      int
	limit             int
}

func parseFilter(c echo.Context) (f auditFilter, err error) {
	f = auditFilter{kind: c.QueryParam("kind"), name: c.QueryParam("name"), actor: c.QueryParam("actor"), limit: defaultAuditLimit}
	for name, target := range map[string]*int{"from_ms": &f.fromMs, "to_ms": &f.toMs, "limit": &f.limit} {
		raw := c.QueryParam(name)
		if raw == "" {
			continue
		}
		n, err := strconv.Atoi(raw)
		if err != nil || n < 0 {
			return f, newAPIError(http.StatusBadRequest, api.ErrorCodeMalformed, name+" must be a number of 0 or more")
		}
		*target = n
	}
	f.limit = min(f.limit, maxAuditLimit)
	return f, nil
}

func (f auditFilter) matches(e *schema.Entry) bool {
	if f.actor != "" && f.actor != e.Actor || e.AtMs < f.fromMs || f.toMs > 0 && e.AtMs > f.toMs {
		return false
	}
	return f.kind == "" && f.name == "" || slices.ContainsFunc(e.Changes, func(c schema.Change) bool {
		return (f.kind == "" || f.kind == string(c.Kind)) && (f.name == "" || f.name == c.Name)
	})
}

// getAudit searches the audit trail, newest entry first.
func (s *Server) getAudit(c echo.Context) error {
	f, err := parseFilter(c)
	if err != nil {
		return err
	}
	out := api.Audit{Entries: []api.AuditEntry{}}
	end := s.table.Snapshot().Revision
	for page := 0; page < maxAuditPages && end > 0 && len(out.Entries) < f.limit; page++ {
		begin := max(0, end-auditPageSize)
		entries, err := s.entriesAfter(c.Request().Context(), begin, end-begin)
		if err != nil {
			return errors.Wrap(err, "read the audit trail")
		}
		for i := range slices.Backward(entries) {
			if f.matches(&entries[i]) && len(out.Entries) < f.limit {
				out.Entries = append(out.Entries, api.FromEntry(&entries[i]))
			}
		}
		end = begin
	}
	out.Complete = end == 0 || len(out.Entries) == f.limit
	return c.JSON(http.StatusOK, out)
}

// entriesAfter returns entries after a revision, from memory if they are still there.
func (s *Server) entriesAfter(ctx context.Context, after, limit int) ([]schema.Entry, error) {
	if entries, ok := s.table.Since(after, limit); ok {
		return entries, nil
	}
	return s.table.History(ctx, after+1, limit)
}
