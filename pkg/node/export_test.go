package node

import (
	"context"
	"io"
	"maps"
	"net/http/httptest"
	"slices"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// What tests with the real decoders use, which are in a package that imports this one.
var (
	Eventually  = eventually
	WorkerTable = source().WorkerTable
)

// NewWithWorkers returns a node that decodes workers with decode.
func NewWithWorkers(name string, rows platform.Rows, decode func(id string, raw []byte) (platform.Worker, error), log io.Writer) *Node {
	src := source()
	src.DecodeWorker = decode
	return New(testSettings(name, "127.0.0.1", 1, 2, 3), services{Rows: rows}, src, zerolog.New(log))
}

// FollowWorkers follows the worker directory until ctx ends.
func (n *Node) FollowWorkers(ctx context.Context) { _ = n.follow(ctx, n.workerFeed()) }

// Workers returns the keys of the workers in the directory.
func (n *Node) Workers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.workers))
}

// Metrics returns the metrics as text.
func (n *Node) Metrics() string {
	w := httptest.NewRecorder()
	n.metrics.handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}
