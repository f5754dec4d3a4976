package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// action is what a fault does to one call.
type action int

const (
	pass       action = iota
	refuse            // 503, nothing was done
	loseBefore        // not done, and the connection is reset
	loseAfter         // done, and the connection is reset
	silent            // not done and never answered
	muted             // done and never answered
)

// fault chooses what happens to a call of an entry; delay comes before it is done.
type fault func(entry, path string) (a action, delay time.Duration)

type rowKey struct{ table, part, key string }

type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	rec *record

	mu      sync.Mutex
	rows    map[rowKey]row
	log     []row
	ver     int64
	history int64 // versions up to this one are forgotten
	changed chan struct{}
	blobs   map[string][]byte
	fault   fault
	onWrite func(r row) // with the lock held
}

func newStore(rec *record) *store {
	return &store{rec: rec, rows: map[rowKey]row{}, changed: make(chan struct{}), blobs: map[string][]byte{}}
}

func (s *store) setFault(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// compact forgets the history so far and cuts the feeds.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.log = s.ver, nil
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes rows as the operator or a minion.
func (s *store) put(table, key string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: raw, Ver: s.ver})
	s.wake()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey{table, "", key}]; !ok {
		return
	}
	s.ver++
	s.set(row{Table: table, Key: key, Ver: s.ver, Gone: true})
	s.wake()
}

func (s *store) set(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Gone {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.log = append(s.log, r)
	if s.onWrite != nil {
		s.onWrite(r)
	}
}

func (s *store) get(table, key string) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, "", key}]
	return r, ok
}

// listen serves the store for one entry at an address of its own.
func (s *store) listen(entry string, c *cloud) (string, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /gannetwell/rows-tx", s.tx)
	mux.HandleFunc("GET /gannetwell/rows-get", s.list)
	mux.HandleFunc("GET /gannetwell/rows-parts", s.parts)
	mux.HandleFunc("GET /gannetwell/rows-feed", s.feed)
	mux.HandleFunc("/gannetwell/blob-put/{id}", s.blob)
	mux.HandleFunc("/gannetwell/blob-get/{id}", s.blob)
	mux.HandleFunc("/gannetwell/blob-drop/{id}", s.blob)
	mux.HandleFunc("GET /gannetwell/blob-list", s.blobList)
	h := withFault(entry, func() fault { s.mu.Lock(); defer s.mu.Unlock(); return s.fault }, mux)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), srv, nil
}

// withFault applies the faults of calls to a handler.
func withFault(entry string, current func() fault, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := pass
		if f := current(); f != nil {
			var d time.Duration
			if a, d = f(entry, r.Method+" "+r.URL.Path); d > 0 {
				time.Sleep(d)
			}
		}
		switch a {
		case refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
		case loseBefore:
			panic(http.ErrAbortHandler)
		case loseAfter:
			h.ServeHTTP(&discard{h: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case silent:
			_, _ = io.ReadAll(r.Body)
			<-r.Context().Done()
		case muted:
			h.ServeHTTP(&discard{h: http.Header{}}, r)
			<-r.Context().Done()
		default:
			h.ServeHTTP(w, r)
		}
	})
}

type discard struct{ h http.Header }

func (d *discard) Header() http.Header         { return d.h }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) now() int64 { return s.rec.ms() + 1000 }

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Expect []row `json:"expected-rev"`
		Put    []row `json:"put"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(8 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Concat(b.Expect, b.Put, b.Remove)
	if len(all) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range all {
		if x.Part != all[0].Part {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	current := []row{}
	failed := false
	for _, e := range b.Expect {
		have, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, have)
		}
		failed = failed || have.Ver != e.Ver
	}
	if failed {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now_ms": s.now()})
		return
	}
	s.ver++
	for _, p := range b.Put {
		p.Ver, p.Gone = s.ver, false
		s.set(p)
	}
	for _, p := range b.Remove {
		p.Ver, p.Gone, p.Value = s.ver, true, nil
		s.set(p)
	}
	s.wake()
	writeJSON(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now()})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows := []row{}
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target-version") == "" || k.key < q.Get("target-version")) {
			rows = append(rows, x)
		}
	}
	ver, now := s.ver, s.now()
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(rows) && n < limit && size < 1<<20 {
		size += len(rows[n].Value)
		n++
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows[:n], "more": n < len(rows), "ver": ver, "now_ms": now})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	s.mu.Lock()
	set := map[string]bool{}
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") {
			set[k.part] = true
		}
	}
	ver, now := s.ver, s.now()
	s.mu.Unlock()
	parts := []string{}
	for p := range set {
		parts = append(parts, p)
	}
	slices.Sort(parts)
	more := len(parts) > 1000
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts[:min(1000, len(parts))], "more": more, "ver": ver, "now_ms": now})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	over := false
	for {
		s.mu.Lock()
		if after < s.history {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []row{}
		for i := len(s.log) - 1; i >= 0 && s.log[i].Ver > after; i-- {
			if s.log[i].Table == q.Get("table") {
				rows = append(rows, s.log[i])
			}
		}
		slices.Reverse(rows)
		ver, now, changed := s.ver, s.now(), s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			time.Sleep(4 * time.Millisecond)
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": now})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) blob(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	raw, _ := io.ReadAll(r.Body)
	time.Sleep(25 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.blobs[id]
	switch {
	case strings.Contains(r.URL.Path, "blob-put"):
		if ok && r.Header.Get("If-None-Match") == "*" {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		s.blobs[id] = raw
	case strings.Contains(r.URL.Path, "blob-drop"):
		delete(s.blobs, id)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = w.Write(old)
	}
}

func (s *store) blobList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for n := range s.blobs {
		if strings.HasPrefix(n, r.URL.Query().Get("path-prefix")) && n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	writeJSON(w, http.StatusOK, map[string]any{"names": names, "more": false})
}
