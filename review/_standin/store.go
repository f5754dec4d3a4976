package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times and limits of the table service, as a small deployment has them.
const (
	readTime     = 4 * time.Millisecond
	writeTime    = 8 * time.Millisecond
	historyTime  = 20 * time.Second
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	maxTxnItems  = 100
	maxFeedWait  = 30 * time.Second
)

// rowKey names a row.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row in a message.
type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

// change is a row in the history, with the time of its transaction.
type change struct {
	row
	at time.Time
}

// store is the table service. It holds rows in memory, and each transaction takes effect at once or not at all.
type store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	history []change
	dropped int64         // version of the newest change that the history no longer holds
	changed chan struct{} // closed and replaced by each transaction
	down    chan struct{} // not nil while the service is down; closed when it returns
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// setDown makes the service silent, or brings it back. Calls that it received while it was down get no answer.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case down && s.down == nil:
		s.down = make(chan struct{})
	case !down && s.down != nil:
		close(s.down)
		s.down = nil
	}
}

// silent reports whether the service is down. If so, it holds the call until the caller gives up or the
// service is back; the connection then ends without an answer.
func (s *store) silent(r *http.Request) bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down == nil {
		return false
	}
	select {
	case <-r.Context().Done():
	case <-down:
	}
	return true
}

// handler serves the table service.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /gannetwell/rows-tx", s.serveTxn)
	mux.HandleFunc("GET /gannetwell/rows-get", s.serveGet)
	mux.HandleFunc("GET /gannetwell/rows-feed", s.serveFeed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.silent(r) {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// txn is the body of a transaction.
type txn struct {
	Expect []row    `json:"expected-rev"`
	Put    []row    `json:"put"`
	Remove []rowKey `json:"remove"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Put)+len(t.Remove) > maxTxnItems {
		http.Error(w, "malformed transaction", http.StatusBadRequest)
		return
	}
	for i := range t.Put {
		if t.Put[i].Table == "servers" {
			http.Error(w, "not the system's table", http.StatusForbidden)
			return
		}
	}
	time.Sleep(writeTime)
	if s.silent(r) {
		panic(http.ErrAbortHandler)
	}
	version, conflicts := s.commit(t)
	if conflicts != nil {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": conflicts, "ver": version, "now_ms": s.nowMs()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ver": version, "now_ms": s.nowMs()})
}

// commit carries out a transaction. If its preconditions do not hold, it returns their rows as they are.
func (s *store) commit(t txn) (version int64, conflicts []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	for _, e := range t.Expect {
		failed = failed || s.rows[e.rowKey].Version != e.Version
	}
	if failed {
		conflicts = []row{}
		for _, e := range t.Expect {
			if now, ok := s.rows[e.rowKey]; ok {
				conflicts = append(conflicts, now)
			}
		}
		return s.version, conflicts
	}
	s.version++
	now := time.Now()
	for _, p := range t.Put {
		p.Version, p.Gone = s.version, false
		s.rows[p.rowKey] = p
		s.history = append(s.history, change{p, now})
	}
	for _, k := range t.Remove {
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.history = append(s.history, change{row{rowKey: k, Version: s.version, Gone: true}, now})
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

// put writes a row without a part on behalf of the operator or a worker, who reach the service always.
func (s *store) put(table, key string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // the values are this program's own
	}
	s.commit(txn{Put: []row{{rowKey: rowKey{Table: table, Key: key}, Value: raw}}})
}

// remove removes a row without a part.
func (s *store) remove(table, key string) {
	s.commit(txn{Remove: []rowKey{{Table: table, Key: key}}})
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	found := []row{}
	for k, v := range s.rows {
		if k.Table != q.Get("table") || k.Part != q.Get("part") || k.Key < q.Get("from") {
			continue
		}
		if end := q.Get("target-version"); end != "" && k.Key >= end {
			continue
		}
		found = append(found, v)
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(found) && n < limit && (n == 0 || size+len(found[n].Value)*4/3 < maxPageBytes) {
		size += len(found[n].Value) * 4 / 3
		n++
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": found[:n], "more": n < len(found), "ver": version, "now_ms": s.nowMs()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64) // 0 without one
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	for {
		rows, version, forgotten, changed := s.changesAfter(q.Get("table"), after)
		if forgotten {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now_ms": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			if s.silent(r) {
				panic(http.ErrAbortHandler)
			}
			writeJSON(w, http.StatusOK, map[string]any{"rows": []row{}, "ver": version, "now_ms": s.nowMs()})
			return
		}
		if s.silent(r) {
			panic(http.ErrAbortHandler)
		}
	}
}

// changesAfter returns the changes of a table after a version, and a channel that the next transaction closes.
func (s *store) changesAfter(table string, after int64) (rows []row, version int64, forgotten bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return nil, 0, true, nil
	}
	for _, c := range s.history {
		if c.Version > after && c.Table == table {
			rows = append(rows, c.row)
		}
	}
	if len(rows) > maxPageRows {
		rows = rows[:maxPageRows]
		return rows, rows[maxPageRows-1].Version, false, s.changed
	}
	return rows, s.version, false, s.changed
}

// writeJSON sends an answer; a failure means that the caller has left.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
