// Package client calls the operators' HTTP API of an entry; gannetctl uses it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/service/api"
)

const (
	defaultTimeout = 15 * time.Second
	maxAnswerBytes = 64 << 20
)

// ErrAPI reports an answer with a status other than 2xx.
type ErrAPI struct {
	Status int
	Body   api.Error
}

// Error returns the entry's message.
func (e ErrAPI) Error() string { return e.Body.Message }

// Client calls the API of one entry.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithHTTP sets the HTTP client, for example one with a TLS configuration.
func WithHTTP(h *http.Client) Option { return func(c *Client) { c.http = h } }

// New returns a client of the entry at the URL base, such as http://entry:7080, with a bearer token.
func New(base, token string, opts ...Option) *Client {
	c := &Client{base: strings.TrimSuffix(base, "/"), token: token, http: &http.Client{Timeout: defaultTimeout}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// call sends a request, a POST if it has a body, and decodes the answer.
func (c *Client) call(ctx context.Context, path string, query url.Values, body, answer any) (err error) {
	method := http.MethodGet
	var r io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		method, r = http.MethodPost, bytes.NewReader(raw)
	}
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, r)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call entry")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode/100 != 2 {
		failure := ErrAPI{Status: resp.StatusCode}
		if json.Unmarshal(raw, &failure.Body) != nil || failure.Body.Message == "" {
			failure.Body.Message = "the entry answered " + resp.Status
		}
		return failure
	}
	return errors.Wrap(json.Unmarshal(raw, answer), "decode answer")
}

// Rows returns the rows of a kind and name; an empty kind or name matches all.
func (c *Client) Rows(ctx context.Context, kind, name string) (rows api.Rows, err error) {
	q := url.Values{}
	setNonEmpty(q, "kind", kind)
	setNonEmpty(q, "name", name)
	err = c.call(ctx, api.PathRows, q, nil, &rows)
	return rows, err
}

func setNonEmpty(q url.Values, key, value string) {
	if value != "" {
		q.Set(key, value)
	}
}

// Edit commits an edit. If the outcome is unknown, the call can be repeated with the same edit.
func (c *Client) Edit(ctx context.Context, edit api.EditRequest) (result api.EditResult, err error) {
	err = c.call(ctx, api.PathEdits, nil, edit, &result)
	return result, err
}

// Status returns the status of the entry and its peers.
func (c *Client) Status(ctx context.Context) (status api.Status, err error) {
	err = c.call(ctx, api.PathStatus, nil, nil, &status)
	return status, err
}

// AuditQuery selects entries of the audit trail; zero fields match all.
type AuditQuery struct {
	Kind, Name, Actor string
	FromMs, ToMs      int // Unix milliseconds
	Limit             int
}

// Audit returns the matching entries of the audit trail, newest first.
func (c *Client) Audit(ctx context.Context, query AuditQuery) (audit api.Audit, err error) {
	q := url.Values{}
	setNonEmpty(q, "kind", query.Kind)
	setNonEmpty(q, "name", query.Name)
	setNonEmpty(q, "actor", query.Actor)
	for key, n := range map[string]int{"from_ms": query.FromMs, "to_ms": query.ToMs, "limit": query.Limit} {
		if n > 0 {
			q.Set(key, strconv.Itoa(n))
		}
	}
	err = c.call(ctx, api.PathAudit, q, nil, &audit)
	return audit, err
}

// Explain returns sentences that explain the state of a row.
func (c *Client) Explain(ctx context.Context, kind, name string) (e api.Explanation, err error) {
	err = c.call(ctx, api.PathExplain+url.PathEscape(kind)+"/"+url.PathEscape(name), nil, nil, &e)
	return e, err
}
