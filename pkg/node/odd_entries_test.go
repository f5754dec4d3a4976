package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/node"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	host "github.com/gannetwell/gannetwell/platform"
)

// lockedBuffer is a buffer for lines of several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// maxLogLineBytes is how long a log line about an odd entry may be.
const maxLogLineBytes = 2000

// oddWorkers returns rows of the worker directory, by what is odd about them.
func oddWorkers() map[string]string {
	const format = `{"service":"s","address":"%s","zone":"z","born":%d,"state":"ready","capacity":{"cpu":%s,"mem-mb":100},"news":%s}`
	nested := strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000)
	const address = "10.0.0.1:80"
	return map[string]string{
		"nested":     fmt.Sprintf(format, address, 1, "4000", nested),
		"objects":    fmt.Sprintf(format, address, 1, "4000", strings.Repeat(`{"a":`, 10_000)+"1"+strings.Repeat("}", 10_000)),
		"large":      fmt.Sprintf(format, address, 1, "9223372036854775807", "0"),
		"larger":     fmt.Sprintf(format, address, 1, "1e400", "0"),
		"port":       fmt.Sprintf(format, "10.0.0.1:99999", 1, "4000", "0"),
		"future":     fmt.Sprintf(format, address, int64(9223372036854775807), "4000", "0"),
		"unreadable": `{"service":` + strings.Repeat("x", 60_000),
	}
}

// TestOddEntries guards against an odd entry in the worker directory that ends a process, stops its follower or costs
// another worker: at each process, at its start and while it follows.
func TestOddEntries(t *testing.T) {
	c := qt.New(t)
	rows := fake.NewRows(time.Microsecond, time.Second)
	writer := rows.As("writer")
	put := func(key, value string) {
		_, err := writer.CommitRows(context.Background(), platform.RowTxn{Put: []platform.Row{{
			RowKey: platform.RowKey{Table: node.WorkerTable, Key: key}, Value: []byte(value),
		}}})
		c.Assert(err, qt.IsNil)
	}
	sound := func(key string) {
		put(key, `{"service":"s","address":"10.0.0.2:80","zone":"z","born":5,"state":"ready","capacity":{"cpu":4000,"mem-mb":100}}`)
	}
	odd := oddWorkers()
	putOdd := func(prefix string) {
		for name, value := range odd {
			put(prefix+name, value)
		}
	}
	sound("w1")
	putOdd("first-")
	ctx, cancel := context.WithCancel(context.Background())
	var following sync.WaitGroup
	defer following.Wait()
	defer cancel()
	var nodes []*node.Node
	var logs []*lockedBuffer
	for i := range 3 {
		log := &lockedBuffer{}
		name := fmt.Sprintf("e%d", i)
		n := node.NewWithWorkers(name, rows.As(name), host.DecodeWorker, log)
		nodes, logs = append(nodes, n), append(logs, log)
		following.Go(func() { n.FollowWorkers(ctx) })
	}
	listed := func(what string, want ...string) {
		for _, n := range nodes {
			node.Eventually(c, what, func() bool { return slices.Equal(n.Workers(), want) })
		}
	}
	listed("the sound worker is read at the start", "w1")
	putOdd("then-")
	sound("w2")
	listed("the sound worker is followed", "w1", "w2")
	put("w1", odd["large"])
	listed("a worker whose entry becomes odd is left out", "w2")
	sound("w1")
	listed("it is back with a sound entry", "w1", "w2")
	for i, n := range nodes {
		counted := fmt.Sprintf(`gannetwell_rows_malformed_total{table=%q} %d`+"\n", node.WorkerTable, 2*len(odd)+1)
		c.Check(n.Metrics(), qt.Contains, counted)
		c.Check(strings.Count(logs[i].String(), "worker_row_malformed"), qt.Equals, 2*len(odd)+1)
		for line := range strings.Lines(logs[i].String()) {
			c.Check(json.Valid([]byte(line)), qt.IsTrue, qt.Commentf("%.200s", line))
			c.Check(len(line) < maxLogLineBytes, qt.IsTrue, qt.Commentf("%d bytes: %.200s", len(line), line))
		}
	}
}
