package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// machine is one machine of the fleet; its minion is the life that runs on it.
type machine struct {
	name, pool, zone, rack, kind string
	capacity                     room
	state                        string
	lives                        int
	minion                       *minion
	upkeeps                      map[int]int64 // by wave: when the upkeep started
	token                        int64
	tokenOf                      string
	upkeepOf                     int // the wave whose upkeep started last
}

type room struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem-mb"`
	GPU int `json:"gpu"`
}

// cloud is the cloud API and the fleet of machines.
type cloud struct {
	rec   *record
	store *store
	w     *world

	mu       sync.Mutex
	machines []*machine
	fault    fault
	giver    string // the entry that sent an order last, carried out or not
	moveS    time.Duration
	upkeepS  time.Duration
}

func (c *cloud) setFault(f fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// listen serves the cloud API for one entry at an address of its own.
func (c *cloud) listen(entry string) (string, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /gannetwell/machines", c.list)
	mux.HandleFunc("POST /gannetwell/machine-move", func(w http.ResponseWriter, r *http.Request) { c.order(entry, "move", w, r) })
	mux.HandleFunc("POST /gannetwell/machine-upkeep", func(w http.ResponseWriter, r *http.Request) { c.order(entry, "upkeep", w, r) })
	h := withFault(entry, func() fault { c.mu.Lock(); defer c.mu.Unlock(); return c.fault }, mux)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			c.mu.Lock()
			c.giver = entry
			c.mu.Unlock()
			c.rec.add("cloud: %s sends %s, token %s", entry, r.URL.Path, r.Header.Get("Fencing-Token"))
		}
		h.ServeHTTP(w, r)
	})}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), srv, nil
}

// add adds a machine and starts its first minion.
func (c *cloud) add(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.upkeeps = map[int]int64{}
	c.machines = append(c.machines, m)
	c.boot(m)
}

// boot starts the next life of a machine; the lock is held.
func (c *cloud) boot(m *machine) {
	m.lives++
	m.state = "up"
	if m.pool == c.w.spare && m.pool != "" {
		m.minion = nil // a spare machine is off
		return
	}
	m.minion = newMinion(c.w, m, fmt.Sprintf("i-%s-%d", m.name, m.lives))
}

func (c *cloud) find(name string) *machine {
	for _, m := range c.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// crash ends a minion without notice; the next life starts after a time, none for a negative one.
func (c *cloud) crash(name string, down time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.find(name)
	if m.state != "up" || m.minion == nil {
		return
	}
	m.state = "down"
	m.minion.die("crash", 4500*time.Millisecond)
	if down < 0 {
		return
	}
	time.AfterFunc(down, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.state == "down" && !c.w.closed() {
			c.boot(m)
		}
	})
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	list := []map[string]any{}
	for _, m := range c.machines {
		id := ""
		if m.minion != nil {
			id = m.minion.id
		}
		list = append(list, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack}, "capacity": m.capacity, "id": id,
		})
	}
	c.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
}

type waveRow struct {
	Wave     int      `json:"wave"`
	Machines []string `json:"machines"`
	WithinS  float64  `json:"within-s"`
	MaxCount int      `json:"max-count"`
}

// wave returns the wave as the operator's row asks for it now.
func (c *cloud) wave(n int) (v waveRow, ok bool) {
	r, ok := c.store.get("op", "wave/"+strconv.Itoa(n))
	if ok {
		_ = json.Unmarshal(r.Value, &v)
	}
	return v, ok
}

func (c *cloud) order(entry, op string, w http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.find(b.Machine)
	if m == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.checkToken(entry, m, r.Header.Get("Fencing-Token"))
	note := func(result string) {
		c.rec.add("cloud: %s orders %s of %s (pool %q, wave %d, token %s): %s", entry, op, b.Machine, b.Pool, b.Wave, r.Header.Get("Fencing-Token"), result)
	}
	if op == "upkeep" {
		if wave, ok := c.wave(b.Wave); !ok || !slices.Contains(wave.Machines, b.Machine) {
			note("409 wave")
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "wave"})
			return
		}
		if _, ok := m.upkeeps[b.Wave]; ok {
			note("200, was done")
			writeJSON(w, http.StatusOK, map[string]any{})
			return
		}
	} else if m.pool == b.Pool {
		note("200, was done")
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	}
	if m.state != "up" || m.minion != nil && m.minion.isDraining() {
		note("409 busy")
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	after := c.moveS
	if op == "upkeep" {
		after = c.upkeepS
		wave, _ := c.wave(b.Wave)
		down := 0
		for _, o := range c.machines {
			if o.state == "upkeep" && o.upkeepOf == b.Wave {
				down++
			}
		}
		if down >= wave.MaxCount {
			c.w.broken("LIMIT", "an upkeep of %s starts while %d machines of wave %d are down for theirs, max-count is %d", b.Machine, down, b.Wave, wave.MaxCount)
		}
		m.upkeeps[b.Wave], m.upkeepOf = c.rec.ms(), b.Wave
		m.state = "upkeep"
	} else {
		m.state = "moving"
		m.pool = b.Pool
	}
	note("200, starts")
	if m.minion != nil {
		m.minion.die(op, 0)
	}
	time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.w.closed() {
			c.rec.add("cloud: %s is up again after %s", m.name, op)
			c.boot(m)
		}
	})
	writeJSON(w, http.StatusOK, map[string]any{})
}

// lastGiver returns the entry that sent an order last.
func (c *cloud) lastGiver() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.giver
}

// checkWave checks a wave that is reported as completed.
func (c *cloud) checkWave(n int) bool {
	if c.w.waveState(n) != "completed" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wave, _ := c.wave(n)
	c.rec.add("operator: wave %d is reported as completed", n)
	for _, name := range wave.Machines {
		if _, ok := c.find(name).upkeeps[n]; !ok {
			c.w.broken("MIXED", "wave %d is reported as completed, and %s hasn't started its upkeep", n, name)
		}
	}
	return true
}

// awaitWaves waits until waves are reported as completed.
func (c *cloud) awaitWaves(until time.Time, waves ...int) {
	open := slices.Clone(waves)
	for len(open) > 0 && time.Now().Before(until) {
		open = slices.DeleteFunc(open, c.checkWave)
		time.Sleep(50 * time.Millisecond)
	}
	c.rec.add("waves not completed: %v", open)
}

// checkToken checks the order of the holders that order for a machine; the lock is held.
func (c *cloud) checkToken(entry string, m *machine, text string) {
	token, _ := strconv.ParseInt(text, 10, 64)
	switch {
	case token < m.token:
		c.w.broken("ONE", "%s orders for %s with token %d after %s did with %d", entry, m.name, token, m.tokenOf, m.token)
	case token == m.token && m.tokenOf != entry:
		c.w.broken("ONE", "%s and %s order for %s with token %d", entry, m.tokenOf, m.name, token)
	default:
		m.token, m.tokenOf = token, entry
	}
}
