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

// row is a row of the platform's store, as PROTOCOL.md spells it.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

func (r *row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Limits and times of the store, as in the settings on DEPLOY.md.
const (
	txTime      = 8 * time.Millisecond
	readTime    = 4 * time.Millisecond
	maxListRows = 500
)

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	ver     int64
	rows    map[string]row
	history []row // changes in order
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes one row for the operator or a minion.
func (s *store) put(table, key string, v any) {
	raw, err := json.Marshal(v)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: raw, Ver: s.ver})
	s.notify()
}

// remove removes a row of the operator or a minion.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.drop(row{Table: table, Key: key, Ver: s.ver, Gone: true})
	s.notify()
}

func (s *store) write(r row) {
	s.rows[r.id()] = r
	s.history = append(s.history, r)
}

func (s *store) drop(r row) {
	if _, ok := s.rows[r.id()]; !ok {
		return
	}
	delete(s.rows, r.id())
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the value of a row, nil for none.
func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := row{Table: table, Part: part, Key: key}
	return s.rows[r.id()].Value
}

// handler serves the entries.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /gannetwell/rows-tx", s.transact)
	mux.HandleFunc("GET /gannetwell/rows-get", s.list)
	mux.HandleFunc("GET /gannetwell/rows-feed", s.feed)
	return mux
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []row `json:"expected-rev"`
		Put    []row `json:"put"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	found := []row{}
	for i := range tx.Expect {
		have, ok := s.rows[tx.Expect[i].id()]
		conflict = conflict || have.Ver != tx.Expect[i].Ver
		if ok {
			found = append(found, have)
		}
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, found, false)
		return
	}
	s.ver++
	for _, p := range tx.Put {
		p.Ver = s.ver
		s.write(p)
	}
	for _, p := range tx.Remove {
		s.drop(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Gone: true})
	}
	s.notify()
	s.answer(w, http.StatusOK, nil, false)
}

// answer writes an answer with rows; mu is held.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	writeJSON(w, status, map[string]any{"rows": rows, "more": more, "ver": s.ver, "now_ms": time.Since(s.started).Milliseconds()})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(readTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > maxListRows
	s.answer(w, http.StatusOK, rows[:min(len(rows), maxListRows)], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	time.Sleep(readTime)
	for timeout := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, x := range s.history {
			if x.Ver > after && x.Table == q.Get("table") {
				rows = append(rows, x)
			}
		}
		if len(rows) > 0 || timeout {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			timeout = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a failure means that the caller has left
}
