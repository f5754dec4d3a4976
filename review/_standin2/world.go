package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// world is one deployment: the platform, the minions and the entries.
type world struct {
	dir     string // of settings and logs
	daemon  string
	store   *store
	fleet   *machines
	jobs    *jobTable
	ran     *ledger
	entries []*entry
	started time.Time
	storeAt string // address of the store
	fleetAt string // address of the machines' service

	mu     sync.Mutex
	record *os.File
}

// newWorld starts the platform. Records go to a file in the case's folder.
func newWorld(caseDir string) *world {
	dir, err := os.MkdirTemp("", "gannetwell-review-")
	check(err)
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	check(err)
	w := &world{dir: dir, daemon: "target/gannetwelld", store: newStore(), jobs: newJobTable(), started: time.Now(), record: record}
	w.ran = &ledger{world: w, now: map[string]map[string]bool{}}
	w.fleet = &machines{world: w}
	w.storeAt, w.fleetAt = serve(w.store.handler()), serve(w.fleet.handler())
	return w
}

// serve serves a handler at a free port of the loopback address.
func serve(h http.Handler) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// logf writes a line of the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all entries.
func (w *world) close() {
	for _, e := range w.entries {
		e.kill()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// owner returns the entry that owns a shard, as the system itself has written into its own table, nil
// if none does.
func (w *world) owner(shard string) *entry {
	var r struct {
		Entry string `msgpack:"e"`
	}
	if raw := w.store.get("owner", shard, "row"); raw == nil || msgpack.Unmarshal(raw, &r) != nil {
		return nil
	}
	for _, e := range w.entries {
		if e.name == r.Entry {
			return e
		}
	}
	return nil
}

// await waits until a condition holds; it ends the case if that takes too long.
func (w *world) await(what string, within time.Duration, holds func() bool) {
	for end := time.Now().Add(within); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			w.logf("can't run: %s did not come within %v", what, within)
			panic(errCantRun)
		}
	}
	w.logf("seen: %s", what)
}

// ledger records the runs at minions and finds tasks that run twice at a time.
type ledger struct {
	world *world

	mu     sync.Mutex
	now    map[string]map[string]bool // by task: the minions where it runs
	broken []string
}

func (l *ledger) began(m *minion, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.logf("task %s run %d begins at %s (fence %d)", r.task, r.id, m.id, m.fence)
	if l.now[r.task] == nil {
		l.now[r.task] = map[string]bool{}
	}
	for other := range l.now[r.task] {
		text := fmt.Sprintf("TWICE: task %s run %d begins at %s while it runs at %s", r.task, r.id, m.id, other)
		l.broken = append(l.broken, text)
		l.world.logf("%s", text)
	}
	l.now[r.task][m.id] = true
}

func (l *ledger) ended(m *minion, r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.now[r.task], m.id)
	l.world.logf("task %s run %d ends at %s: %s", r.task, r.id, m.id, how)
}

func (l *ledger) noted(m *minion, e end) {
	l.world.logf("end %d of %s (task %s, %s) is taken note of", e.n, m.id, e.tsk, e.how)
}

// runsAt returns the minions where a task runs.
func (l *ledger) runsAt(task string) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.now[task] {
		ids = append(ids, id)
	}
	return ids
}

func (l *ledger) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	l.broken = append(l.broken, text)
	l.world.logf("%s", text)
}

func (l *ledger) failures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken
}

// logged reports whether an entry has logged a line that holds all of the given texts.
func (w *world) logged(texts ...string) bool {
	for _, e := range w.entries {
		raw, err := os.ReadFile(filepath.Join(w.dir, e.name+".log"))
		check(err)
		for _, line := range strings.Split(string(raw), "\n") {
			if !slices.ContainsFunc(texts, func(t string) bool { return !strings.Contains(line, t) }) {
				return true
			}
		}
	}
	return false
}
