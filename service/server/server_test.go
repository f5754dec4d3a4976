package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/service/api"
	"github.com/gannetwell/gannetwell/service/client"
	"github.com/gannetwell/gannetwell/service/server"
)

type noExplainer struct{}

func (noExplainer) Explain(context.Context, schema.Kind, string) ([]string, bool) { return nil, false }

func start(t *testing.T) (store *fake.Platform, url string) {
	store = fake.New()
	r := replica.New(store.View("z"))
	s := httptest.NewServer(server.New(r, noExplainer{}, server.WithOperatorAccounts([]schema.Account{
		{Name: "eva", Role: schema.RoleView, TokenSha256: server.HashToken("view-token")},
		{Name: "maria", Role: schema.RoleEdit, TokenSha256: server.HashToken("edit-token")},
	})))
	t.Cleanup(s.Close)
	return store, s.URL
}

func change(kind, name, value string, seen int) api.RowChange {
	return api.RowChange{Kind: kind, Name: name, Seen: seen, Value: json.RawMessage(value)}
}

// TestAccess checks the status of each path for each role, and the body of errors.
func TestAccess(t *testing.T) {
	_, url := start(t)
	for _, tc := range []struct {
		method, path, token string
		status              int
	}{
		{"GET", api.PathHealth, "", 200},
		{"GET", api.PathReady, "", 200},
		{"GET", api.PathRows, "", 401},
		{"GET", api.PathRows, "Bearer wrong", 401},
		{"GET", api.PathRows, "view-token", 401},
		{"GET", api.PathRows, "Bearer view-token", 200},
		{"GET", api.PathMetrics, "", 401},
		{"GET", api.PathStatus, "Bearer view-token", 200},
		{"POST", api.PathEdits, "Bearer view-token", 403},
		{"POST", api.PathEdits, "", 401},
		{"GET", api.PathRows + "?kind=nothing", "Bearer view-token", 400},
		{"GET", api.PathAudit + "?limit=x", "Bearer view-token", 400},
		{"GET", api.PathExplain + "vm/w1", "Bearer view-token", 404},
		{"GET", "/other", "Bearer edit-token", 404},
		{"DELETE", api.PathRows, "Bearer edit-token", 404},
	} {
		t.Run(tc.method+" "+tc.path+" "+tc.token, func(t *testing.T) {
			c := qt.New(t)
			req, _ := http.NewRequest(tc.method, url+tc.path, strings.NewReader("{}"))
			if tc.token != "" {
				req.Header.Set("Authorization", tc.token)
			}
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			defer func() { _ = resp.Body.Close() }()
			c.Check(resp.StatusCode, qt.Equals, tc.status)
			if tc.status >= 400 {
				var e api.Error
				c.Assert(json.NewDecoder(resp.Body).Decode(&e), qt.IsNil)
				c.Check(e.Code, qt.Not(qt.Equals), api.ErrorCode(""))
				c.Check(e.Message, qt.Not(qt.Equals), "")
			}
		})
	}
}

// TestEdits checks accepted, rejected, conflicting and repeated edits, and a lost answer of the store.
func TestEdits(t *testing.T) {
	c := qt.New(t)
	store, url := start(t)
	ctx := context.Background()
	cl := client.New(url, "edit-token")
	edit := func(id string, changes ...api.RowChange) (api.EditResult, api.Error) {
		result, err := cl.Edit(ctx, api.EditRequest{ID: id, Reason: "test", Changes: changes})
		if err == nil {
			return result, api.Error{}
		}
		return result, err.(client.ErrAPI).Body
	}

	_, failure := edit("e0", change("rack", "r", `{"zone": "z"}`, 0))
	c.Check(failure.Code, qt.Equals, api.ErrorCodeRejected)
	c.Check(failure.Problems, qt.DeepEquals, []api.Problem{{Kind: "rack", Name: "r", Column: "zone", Message: `there is no zone "z"`}})

	result, _ := edit("e1", change("zone", "z", `{}`, 0), change("rack", "r", `{"zone": "z"}`, 0))
	c.Check(result.Revision, qt.Equals, 1)
	again, _ := edit("e1", change("zone", "z", `{}`, 0), change("rack", "r", `{"zone": "z"}`, 0))
	c.Check(again, qt.DeepEquals, result, qt.Commentf("a repeated edit keeps its revision"))

	_, failure = edit("e2", change("zone", "z", `{"note": "mine"}`, 0))
	c.Check(failure.Code, qt.Equals, api.ErrorCodeConflict)
	c.Check(string(failure.Conflicts[0].Theirs), qt.Contains, `"note":""`)
	c.Check(string(failure.Conflicts[0].Yours), qt.Contains, "mine")

	_, failure = edit("e3", change("zone", "z", `{"colour": 1}`, 1))
	c.Check(failure.Problems[0].Column, qt.Equals, "colour")
	_, failure = edit("e4", change("vm", "w", `{"rack": "r", "address": "h:1", "phase": "draining"}`, 0))
	c.Check(failure.Problems[0].Message, qt.Equals, "control writes this column")
	_, failure = edit("e5", change("vm", "w1", `{"rack": "r", "address": "h:1"}`, 0), change("vm", "w2", `{"rack": "r", "address": "h:1"}`, 0))
	c.Check(failure.Problems[0].Message, qt.Contains, "one machine would be in two places")
	_, failure = edit("", change("zone", "z", `{}`, 1))
	c.Check(failure.Code, qt.Equals, api.ErrorCodeMalformed)

	store.SetRules(fake.Rule{Op: rest.OpCommit, Fault: fake.FaultLostAfter, Count: 1})
	result, failure = edit("e6", change("zone", "z", `{"note": "kept"}`, 1))
	c.Check(result.Revision, qt.Equals, 2, qt.Commentf("the outcome after a lost answer is determined: %v", failure))

	audit, err := cl.Audit(ctx, client.AuditQuery{Kind: "zone", Name: "z", Actor: "maria"})
	c.Assert(err, qt.IsNil)
	c.Check(len(audit.Entries), qt.Equals, 2)
	c.Check(audit.Complete, qt.IsTrue)
	c.Check(audit.Entries[0].Reason, qt.Equals, "test")
	rows, err := cl.Rows(ctx, "zone", "z")
	c.Assert(err, qt.IsNil)
	c.Check(string(rows.Rows[0].Value), qt.Contains, "kept")
}

// TestBadBodies checks that malformed and oversized edits are refused with a 4xx status.
func TestBadBodies(t *testing.T) {
	_, url := start(t)
	for _, body := range []string{"", "{", "[]", `{"id": 3}`, `{"id": "a", "colour": 1}`, `{"id": "a", "changes": [{"kind": "sky", "name": "a"}]}`, strings.Repeat("x", 17<<20)} {
		req, _ := http.NewRequest("POST", url+api.PathEdits, bytes.NewReader([]byte(body)))
		req.Header.Set("Authorization", "Bearer edit-token")
		resp, err := http.DefaultClient.Do(req)
		qt.Assert(t, err, qt.IsNil)
		_ = resp.Body.Close()
		qt.Check(t, resp.StatusCode/100, qt.Equals, 4, qt.Commentf("%.40s", body))
	}
}
