package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
	"github.com/gannetwell/gannetwell/service/api"
)

const (
	editTimeout       = 3 * time.Second
	maxEditIDLen      = 128
	defaultAuditLimit = 100
	maxAuditLimit     = 10000
)

// Table is the entry's replica of the table.
type Table interface {
	// Snapshot returns the table at the latest revision.
	Snapshot() *table.Snapshot
	// Commit commits an edit and returns its log entry.
	Commit(ctx context.Context, e *table.Edit) (*schema.Entry, error)
	// History reads up to limit log entries from a revision on from the store.
	History(ctx context.Context, from, limit int) ([]schema.Entry, error)
	// Since returns up to limit log entries after a revision; the result is false if some are no longer in memory.
	Since(revision, limit int) ([]schema.Entry, bool)
}

// Explainer explains the state of a row in sentences; ok is false if it does not exist.
type Explainer interface {
	// Explain returns the explanation of the row with a kind and name.
	Explain(ctx context.Context, kind schema.Kind, name string) (sentences []string, ok bool)
}

// Server is the http.Handler of the API.
type Server struct {
	echo      *echo.Echo
	operators []schema.Account
	table     Table
	explain   Explainer
	status    func() api.Status
	ready     func() bool
	metrics   http.Handler
	log       zerolog.Logger
}

// Option configures a Server.
type Option func(*Server)

// WithOperatorAccounts sets the operator accounts.
func WithOperatorAccounts(accounts []schema.Account) Option {
	return func(s *Server) { s.operators = accounts }
}

// WithMetrics sets the handler of the metrics path.
func WithMetrics(h http.Handler) Option { return func(s *Server) { s.metrics = h } }

// WithReady sets the readiness check for the load balancer.
func WithReady(f func() bool) Option { return func(s *Server) { s.ready = f } }

// WithStatus sets the function that returns the entry's status.
func WithStatus(f func() api.Status) Option { return func(s *Server) { s.status = f } }

// WithLogger sets the logger for edits and failed requests.
func WithLogger(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// New returns a server for a table.
func New(t Table, e Explainer, opts ...Option) *Server {
	s := &Server{
		table: t, explain: e, log: zerolog.Nop(),
		status:  func() api.Status { return api.Status{} },
		ready:   func() bool { return true },
		metrics: http.NotFoundHandler(),
	}
	for _, o := range opts {
		o(s)
	}
	s.echo = s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

func (s *Server) routes() *echo.Echo {
	e := echo.New()
	e.HTTPErrorHandler = s.writeError
	e.Use(limitBody)
	e.GET(api.PathHealth, func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET(api.PathReady, s.getReady)
	g := e.Group("", s.authenticate)
	g.GET(api.PathMetrics, echo.WrapHandler(s.metrics))
	g.GET(api.PathRows, s.getRows)
	g.POST(api.PathEdits, s.postEdit, requireEditRole)
	g.GET(api.PathStatus, func(c echo.Context) error { return c.JSON(http.StatusOK, s.status()) })
	g.GET(api.PathAudit, s.getAudit)
	g.GET(api.PathExplain+":kind/:name", s.getExplain)
	return e
}

func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
		return next(c)
	}
}

const maxBodyBytes = 16 << 20

func (s *Server) getReady(c echo.Context) error {
	if !s.ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// getRows answers with the rows selected by the query parameters kind and name, which are optional.
func (s *Server) getRows(c echo.Context) error {
	kind, name := schema.Kind(c.QueryParam("kind")), c.QueryParam("name")
	if kind != "" && !table.KnownKind(kind) {
		return newAPIError(http.StatusBadRequest, api.ErrorCodeMalformed, "there is no kind of row "+strconv.Quote(string(kind)))
	}
	snap := s.table.Snapshot()
	var rows []table.StoredRow
	for _, k := range snap.Keys(kind) {
		if name == "" || name == k.Name {
			rows = append(rows, table.StoredRow{Key: k, Version: snap.Version(k), Value: snap.Value(k)})
		}
	}
	return c.JSON(http.StatusOK, api.Rows{Revision: snap.Revision, Rows: api.FromStored(rows)})
}

// postEdit commits an edit and answers once it is committed.
func (s *Server) postEdit(c echo.Context) error {
	var q api.EditRequest
	if err := decodeStrict(c.Request().Body, &q); err != nil {
		return newAPIError(http.StatusBadRequest, api.ErrorCodeMalformed, "the edit cannot be read: "+err.Error())
	}
	if q.ID == "" || len(q.ID) > maxEditIDLen {
		return newAPIError(http.StatusBadRequest, api.ErrorCodeMalformed, "the edit needs an id of 1 to 128 bytes")
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), editTimeout)
	defer cancel()
	entry, err := s.table.Commit(ctx, api.ToEdit(actor(c).Name, &q))
	if err != nil {
		return err
	}
	s.log.Info().Str("event", "edit_accepted").Str("actor", entry.Actor).Str("edit_id", entry.EditID).
		Int("revision", entry.Revision).Int("changes", len(entry.Changes)).Str("reason", entry.Reason).Send()
	return c.JSON(http.StatusOK, api.EditResult{Revision: entry.Revision, EditID: entry.EditID})
}

// getExplain answers with an explanation of a row.
func (s *Server) getExplain(c echo.Context) error {
	sentences, ok := s.explain.Explain(c.Request().Context(), schema.Kind(c.Param("kind")), c.Param("name"))
	if !ok {
		return newAPIError(http.StatusNotFound, api.ErrorCodeNotFound, "there is no "+c.Param("kind")+" "+strconv.Quote(c.Param("name")))
	}
	return c.JSON(http.StatusOK, api.Explanation{Sentences: sentences})
}

// apiError is an error with its HTTP answer.
type apiError struct {
	status int
	body   api.Error
}

// Error returns the message of the answer.
func (e apiError) Error() string { return e.body.Message }

func newAPIError(status int, code api.ErrorCode, message string) error {
	return apiError{status: status, body: api.Error{Code: code, Message: message, Problems: []api.Problem{}, Conflicts: []api.Conflict{}}}
}

// writeError answers with an api.Error for any error.
func (s *Server) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	a := classifyError(err)
	s.log.Info().Str("event", "operator_request_failed").Str("path", c.Request().URL.Path).
		Str("code", string(a.body.Code)).Str("detail", a.body.Message).Send()
	_ = c.JSON(a.status, a.body) // fails only if the client is gone
}

// classifyError converts the errors of the table and of echo.
func classifyError(err error) apiError {
	var answer apiError
	var conflict table.ErrConflict
	var rejected table.ErrRejected
	var outcomeUnknown replica.ErrOutcomeUnknown
	var httpErr *echo.HTTPError
	switch {
	case errors.As(err, &answer):
	case errors.As(err, &conflict):
		answer = newAPIError(http.StatusConflict, api.ErrorCodeConflict, conflict.Error()).(apiError)
		answer.body.Conflicts = api.FromConflicts(conflict.Conflicts)
	case errors.As(err, &rejected):
		answer = newAPIError(http.StatusUnprocessableEntity, api.ErrorCodeRejected, rejected.Error()).(apiError)
		answer.body.Problems = api.FromProblems(rejected.Problems)
	case errors.As(err, new(table.ErrNoChange)):
		answer = newAPIError(http.StatusUnprocessableEntity, api.ErrorCodeNoChange, err.Error()).(apiError)
	case errors.As(err, &outcomeUnknown):
		answer = newAPIError(http.StatusGatewayTimeout, api.ErrorCodeUnknown, outcomeUnknown.Error()).(apiError)
	case platform.IsNotDone(err):
		answer = newAPIError(http.StatusServiceUnavailable, api.ErrorCodeNotDone, err.Error()).(apiError)
	case errors.As(err, &httpErr):
		answer = newAPIError(httpErr.Code, api.ErrorCodeMalformed, http.StatusText(httpErr.Code)).(apiError)
	default:
		answer = newAPIError(http.StatusInternalServerError, api.ErrorCodeUnknown, err.Error()).(apiError)
	}
	return answer
}
