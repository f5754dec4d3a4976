package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	maxAnswerBytes = 64 << 20
	defaultTimeout = 2 * time.Second
	maxIdleConns   = 8
)

// Client implements platform.Platform over HTTP.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	onBytes func(sent, received int)
}

var _ platform.Platform = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each call, which is 2 s by default.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithBytes sets a function that is called with the body sizes of each call in bytes.
func WithBytes(f func(sent, received int)) Option { return func(c *Client) { c.onBytes = f } }

// New returns a client of the platform at the URL base, such as http://platform:7000/zones/hall-1.
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: defaultTimeout,
		onBytes: func(int, int) {},
	}
	for _, o := range opts {
		o(c)
	}
	c.http = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call sends one operation and converts a failure to an error type of package platform.
func (c *Client) call(ctx context.Context, op Operation, args *Call) (ans *Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(args)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", op)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/"+string(op), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, errors.Wrapf(err, "create %s request", op)
	}
	// Without GetBody net/http cannot resend a transaction on its own.
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(op, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	c.onBytes(len(body), len(raw))
	if err != nil {
		return nil, transportError(op, err)
	}
	return decodeAnswer(op, resp, raw)
}

// transportError converts a transport error: reads and calls that were never sent had no effect.
func transportError(op Operation, err error) error {
	var opErr *net.OpError
	dialed := !errors.As(err, &opErr) || opErr.Op != "dial"
	if op.Writes() && dialed {
		return platform.ErrUnknown{Op: string(op), Cause: transportCause(err)}
	}
	return platform.ErrNotDone{Op: string(op), Cause: transportCause(err)}
}

// transportCause removes the URL that net/http prepends to its errors.
func transportCause(err error) string {
	var ue *url.Error
	if errors.As(err, &ue) {
		return ue.Err.Error()
	}
	return err.Error()
}

func decodeAnswer(op Operation, resp *http.Response, raw []byte) (ans *Answer, err error) {
	ans = &Answer{}
	parseErr := json.Unmarshal(raw, ans)
	switch {
	case resp.StatusCode/100 == 2 && parseErr == nil:
		return ans, nil
	case resp.StatusCode == http.StatusConflict:
		return nil, platform.ErrRefused{Op: string(op), Reason: ans.Error, Conflict: true}
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		return nil, platform.ErrNotDone{Op: string(op), Cause: ans.Error, RetryAfter: retryAfter(resp)}
	case resp.StatusCode/100 == 4:
		return nil, platform.ErrRefused{Op: string(op), Reason: ans.Error}
	case op.Writes():
		return nil, platform.ErrUnknown{Op: string(op), Cause: "status " + resp.Status}
	}
	return nil, platform.ErrNotDone{Op: string(op), Cause: "status " + resp.Status}
}

func retryAfter(resp *http.Response) time.Duration {
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(s) * time.Second
}

// do is call for operations without a result.
func (c *Client) do(ctx context.Context, op Operation, args *Call) error {
	_, err := c.call(ctx, op, args)
	return err
}

// missingResult reports an answer that lacks the operation's result field.
func missingResult(op Operation) error {
	return platform.ErrNotDone{Op: string(op), Cause: "the answer has no result"}
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Item, error) {
	ans, err := c.call(ctx, OpGet, &Call{Key: key})
	if err != nil {
		return platform.Item{}, err
	}
	if ans.Item == nil {
		return platform.Item{}, missingResult(OpGet)
	}
	return *ans.Item, nil
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, from, to string, limit int) ([]platform.Item, error) {
	ans, err := c.call(ctx, OpScan, &Call{From: from, To: to, Limit: limit})
	if err != nil {
		return nil, err
	}
	return ans.Items, nil
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) error {
	return c.do(ctx, OpCommit, &Call{Txn: &txn})
}

// PutObject implements platform.Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.do(ctx, OpPutObject, &Call{Key: name, Data: data})
}

// GetObject implements platform.Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	ans, err := c.call(ctx, OpGetObject, &Call{Key: name})
	if err != nil {
		return nil, err
	}
	return ans.Data, nil
}

// ListObjects implements platform.Objects.
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	ans, err := c.call(ctx, OpListObjects, &Call{Key: prefix})
	if err != nil {
		return nil, err
	}
	return ans.Names, nil
}

// ListVMs implements platform.Lister.
func (c *Client) ListVMs(ctx context.Context, zone string) (platform.VMList, error) {
	ans, err := c.call(ctx, OpListVMs, &Call{Zone: zone})
	if err != nil {
		return platform.VMList{}, err
	}
	if ans.VMs == nil {
		return platform.VMList{}, missingResult(OpListVMs)
	}
	return *ans.VMs, nil
}

// Drain implements platform.VMs.
func (c *Client) Drain(ctx context.Context, vm string, boot int) error {
	return c.do(ctx, OpDrain, &Call{VM: vm, Boot: boot})
}

// Undrain implements platform.VMs.
func (c *Client) Undrain(ctx context.Context, vm string) error {
	return c.do(ctx, OpUndrain, &Call{VM: vm})
}

// Reboot implements platform.VMs.
func (c *Client) Reboot(ctx context.Context, vm, operation string, boot int) error {
	return c.do(ctx, OpReboot, &Call{VM: vm, Operation: operation, Boot: boot})
}

// VMStatus implements platform.VMs.
func (c *Client) VMStatus(ctx context.Context, vm string) (platform.VMStatus, error) {
	ans, err := c.call(ctx, OpVMStatus, &Call{VM: vm})
	if err != nil {
		return platform.VMStatus{}, err
	}
	if ans.Status == nil {
		return platform.VMStatus{}, missingResult(OpVMStatus)
	}
	return *ans.Status, nil
}

// StartTask implements platform.Tasks.
func (c *Client) StartTask(ctx context.Context, spec platform.TaskSpec) error {
	return c.do(ctx, OpStartTask, &Call{Task: &spec})
}

// RenewTask implements platform.Tasks.
func (c *Client) RenewTask(ctx context.Context, id string, leaseMs int) error {
	return c.do(ctx, OpRenewTask, &Call{ID: id, LeaseMs: leaseMs})
}

// CheckpointTask implements platform.Tasks.
func (c *Client) CheckpointTask(ctx context.Context, id, object string) error {
	return c.do(ctx, OpCheckpointTask, &Call{ID: id, Key: object})
}

// ThrottleTask implements platform.Tasks.
func (c *Client) ThrottleTask(ctx context.Context, id string, cpus float64) error {
	return c.do(ctx, OpThrottleTask, &Call{ID: id, Cpus: cpus})
}

// StopTask implements platform.Tasks.
func (c *Client) StopTask(ctx context.Context, id string) error {
	return c.do(ctx, OpStopTask, &Call{ID: id})
}

// ReportTasks implements platform.Tasks.
func (c *Client) ReportTasks(ctx context.Context, vm string) ([]platform.TaskReport, error) {
	ans, err := c.call(ctx, OpReportTasks, &Call{VM: vm})
	if err != nil {
		return nil, err
	}
	return ans.Reports, nil
}
