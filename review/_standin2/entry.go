package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// entry is one process of the system, started with the command of the deploy file.
type entry struct {
	world  *world
	name   string
	zone   string
	front  string // address for clients
	ready  string
	config string

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
}

// entryAddress returns the loopback address of an entry. Two plays at a time have different ones.
func entryAddress(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/250%128, 1+pid%250, n)
}

// freePort returns a port that is free at an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// addEntry writes the settings of an entry, as deploy/settings.jsonc lays them out, and starts it.
func (w *world) addEntry(name, zone string) *entry {
	ip := entryAddress(len(w.entries) + 1)
	peerPort := freePort(ip)
	e := &entry{
		world: w, name: name, zone: zone, front: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip)),
		config: filepath.Join(w.dir, name+".json"),
	}
	type object map[string]any
	raw, err := json.MarshalIndent(object{
		"name": name, "zone": zone, "address": ip, "callers": e.front, "readiness": e.ready, "ports": []int{peerPort, peerPort},
		"memory_mb": 284, "cpu_share": 0.4,
		"store":    object{"address": w.storeAt, "row_bytes": 65536, "partition_writes_per_s": 150},
		"machines": object{"address": w.fleetAt, "actions_per_s": 64},
		"advice":   "",
		"timing": object{
			"grace_s": 6, "max_lease_ms": 10000, "retention_s": 120, "drain_ms": 2000, "stop_ms": 400, "notice_ms": 4500, "lease_ms": 3000,
			"move_s": 1.5, "maintenance_s": 2, "early_ms": 250, "harm_ms": 4000, "data_rack_factor": 2,
		},
	}, "", "  ")
	check(err)
	check(os.WriteFile(e.config, raw, 0o600))
	w.entries = append(w.entries, e)
	e.start()
	return e
}

func (e *entry) start() {
	log, err := os.OpenFile(filepath.Join(e.world.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(e.world.daemon, "serve")
	cmd.Env = append(os.Environ(), "GANNETWELL_CONFIG="+e.config)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	e.mu.Lock()
	e.process, e.exited = cmd.Process, make(chan struct{})
	exited := e.exited
	e.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	e.world.logf("entry %s of zone %s is started", e.name, e.zone)
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.process.Signal(s) // fails if it has ended
	e.world.logf("entry %s gets %v", e.name, s)
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	e.mu.Lock()
	process, exited := e.process, e.exited
	e.mu.Unlock()
	_ = process.Kill()
	select {
	case <-exited:
	case <-time.After(5 * time.Second):
	}
}
