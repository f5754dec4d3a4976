// Package client calls the operators' HTTP interface of an entry.
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

// ErrAPI is an answer that is not a success.
type ErrAPI struct {
	Status int
	Body   api.Error
}

// Error gives the entry's message.
func (e ErrAPI) Error() string { return e.Body.Message }

// Client calls one entry.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// Option changes how a Client is made.
type Option func(*Client)

// WithHTTP sets the HTTP client, such as one with a TLS configuration.
func WithHTTP(h *http.Client) Option { return func(c *Client) { c.http = h } }

// New returns a client of the entry at base, such as http://entry:7080, with a bearer token.
func New(base, token string, opts ...Option) *Client {
	c := &Client{base: strings.TrimSuffix(base, "/"), token: token, http: &http.Client{Timeout: defaultTimeout}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// call makes one request; a body makes it a POST.
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
		return errors.Wrap(err, "make request")
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

// Rows returns the rows of a kind and name; empty ones mean all.
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

// Edit makes an edit; it may be called again with the same edit when its outcome is unknown.
func (c *Client) Edit(ctx context.Context, edit api.EditRequest) (result api.EditResult, err error) {
	err = c.call(ctx, api.PathEdits, nil, edit, &result)
	return result, err
}

// Status returns what the entry knows of itself and its peers.
func (c *Client) Status(ctx context.Context) (status api.Status, err error) {
	err = c.call(ctx, api.PathStatus, nil, nil, &status)
	return status, err
}

// AuditQuery selects entries of the audit trail; zero fields select all.
type AuditQuery struct {
	Kind, Name, Actor string
	FromMs, ToMs      int // Unix milliseconds
	Limit             int
}

// Audit searches the audit trail, the newest entry first.
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

// Explain returns sentences about a row.
func (c *Client) Explain(ctx context.Context, kind, name string) (e api.Explanation, err error) {
	err = c.call(ctx, api.PathExplain+url.PathEscape(kind)+"/"+url.PathEscape(name), nil, nil, &e)
	return e, err
}
