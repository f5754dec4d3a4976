package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Times of the machines' service, as in the settings on DEPLOY.md.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// machine is one machine of the fleet; its minion is nil in the spare pool and while it is away.
type machine struct {
	name, pool, state, zone string
	labels                  []string
	room                    resources
	minion                  *minion
	lives                   int
}

// machines is the platform's service for machines.
type machines struct {
	world *world
	spare string                         // pool whose machines are off
	newID func(m *machine, n int) string // id of the n-th life of a machine
	mu    sync.Mutex
	all   []*machine
}

// add adds a machine that is up.
func (ms *machines) add(name, pool, zone string, room resources) *machine {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	m := &machine{name: name, pool: pool, state: "up", zone: zone, labels: []string{"a", "r1-" + name}, room: room}
	ms.all = append(ms.all, m)
	ms.enter(m)
	return m
}

// enter starts a new life of a machine in its pool; mu is held.
func (ms *machines) enter(m *machine) {
	m.state = "up"
	if m.pool == ms.spare {
		return
	}
	m.lives++
	m.minion = ms.world.startMinion(ms.newID(m, m.lives), m.name, m.pool, m.zone, m.labels, m.room)
}

func (ms *machines) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /gannetwell/machines", func(w http.ResponseWriter, _ *http.Request) {
		ms.mu.Lock()
		defer ms.mu.Unlock()
		list := []map[string]any{}
		for _, m := range ms.all {
			id := ""
			if m.minion != nil {
				id = m.minion.id
			}
			list = append(list, map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels, "capacity": m.room, "id": id})
		}
		writeJSON(w, http.StatusOK, map[string]any{"machines": list})
	})
	mux.HandleFunc("POST /gannetwell/machine-move", func(w http.ResponseWriter, r *http.Request) { ms.order(w, r, moveTime) })
	mux.HandleFunc("POST /gannetwell/machine-upkeep", func(w http.ResponseWriter, r *http.Request) { ms.order(w, r, upkeepTime) })
	return mux
}

// order moves a machine or has its upkeep done.
func (ms *machines) order(w http.ResponseWriter, r *http.Request, takes time.Duration) {
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.name != o.Machine {
			continue
		}
		switch {
		case o.Pool != "" && m.pool == o.Pool:
			writeJSON(w, http.StatusOK, map[string]any{})
			return
		case m.state != "up":
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
			return
		}
		ms.world.logf("machine %s: order for pool %q by %s, fencing token %s", m.name, o.Pool, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"))
		if m.minion != nil {
			m.minion.end()
			m.minion = nil
		}
		m.state = "upkeep"
		if o.Pool != "" {
			m.pool, m.state = o.Pool, "moving"
		}
		time.AfterFunc(takes, func() {
			ms.mu.Lock()
			defer ms.mu.Unlock()
			ms.enter(m)
		})
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

// minionOf returns the minion of a machine, nil for none.
func (ms *machines) minionOf(name string) *minion {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.name == name {
			return m.minion
		}
	}
	return nil
}
