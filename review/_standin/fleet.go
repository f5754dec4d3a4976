package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// moveTime is how long a machine takes to move to another pool.
	moveTime = 1500 * time.Millisecond
	// silenceTime is how long the directory still lists a worker that has crashed.
	silenceTime = 3 * heartbeat
	// anyAddress is a free port of the loopback interface.
	anyAddress = "127.0.0.1:0"
)

// machine is a machine of the VM list.
type machine struct {
	name, zone, rack, pool, state string
	room                          capacity
	worker                        *worker // nil while it moves
}

// fleet is the VM list with its machines and the workers on them.
type fleet struct {
	store *store
	tasks *taskBook
	rec   *record
	rate  float64 // of the workers' clocks

	mu       sync.Mutex
	machines []*machine
	lives    int
}

// add adds a machine to a pool and starts its worker.
func (f *fleet) add(pool, zone, rack string, room capacity) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &machine{name: fmt.Sprintf("m-%05x", len(f.machines)+1), zone: zone, rack: rack, pool: pool, room: room}
	f.machines = append(f.machines, m)
	return f.bootLocked(m, anyAddress)
}

func (f *fleet) bootLocked(m *machine, address string) (err error) {
	f.lives++
	id := fmt.Sprintf("i-%08x", 0x7f3a9100+f.lives)
	if m.worker, err = boot(id, m.name, m.zone, m.rack, m.pool, address, f.rate, m.room, f.tasks, f.store); err != nil {
		return err
	}
	m.state = "up"
	f.rec.write("platform", "%s enters %s with %s at %s", m.name, m.pool, m.worker, m.worker.address)
	return nil
}

// close ends all workers.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker != nil {
			m.worker.end()
		}
	}
}

func (f *fleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /gannetwell/machines", f.serveList)
	mux.HandleFunc("POST /gannetwell/machine-move", f.serveMove)
	mux.HandleFunc("POST /gannetwell/machine-upkeep", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "wave"}) // there is no wave
	})
	return mux
}

func (f *fleet) serveList(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []map[string]any{}
	for _, m := range f.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		list = append(list, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack}, "capacity": m.room, "id": id,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
}

// serveMove moves a machine: everything there ends at once, and a new worker enters the other pool.
func (f *fleet) serveMove(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64); err != nil {
		http.Error(w, "no fencing token", http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.find(body.Machine)
	switch {
	case m == nil:
		http.Error(w, "no such machine", http.StatusBadRequest)
		return
	case m.pool == body.Pool:
		w.WriteHeader(http.StatusOK)
		return
	case m.state != "up":
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	f.rec.write("platform", "%s moves from %s to %s", m.name, m.pool, body.Pool)
	left := m.worker
	m.pool, m.state, m.worker = body.Pool, "moving", nil
	left.end()
	f.store.remove("servers", left.id)
	time.AfterFunc(moveTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.bootLocked(m, anyAddress); err != nil {
			f.rec.write("platform", "%s does not return: %v", m.name, err)
		}
	})
	w.WriteHeader(http.StatusOK)
}

// find returns a machine by its name, nil if there is none.
func (f *fleet) find(name string) *machine {
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// crashPool has all workers of a pool crash, and start again at their addresses after a time, each as a new life.
func (f *fleet) crashPool(pool string, downTime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.pool != pool || m.state != "up" {
			continue
		}
		lost := m.worker
		m.state, m.worker = "down", nil
		lost.end()
		time.AfterFunc(silenceTime, func() { f.store.remove("servers", lost.id) })
		time.AfterFunc(downTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if err := f.bootLocked(m, lost.address); err != nil {
				f.rec.write("platform", "%s does not return: %v", m.name, err)
			}
		})
	}
	f.rec.write("platform", "all workers of %s crash, for %s", pool, downTime)
}
