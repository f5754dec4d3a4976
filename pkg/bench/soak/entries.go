package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Ports of an entry, each on an address of its own, and the bounds that its settings name.
const (
	peerPort      = 7060
	callersPort   = 8624
	readinessPort = 8622
	entryMemoryMB = 128
	grace         = 6 * time.Second // from the stop signal to the end of the process
	maxLeaseMs    = 10_000
	retention     = 120 * time.Second
	exitSlack     = 2 * time.Second // for a busy machine
)

// entry is one entry of the job service, a process that is started again and again.
type entry struct {
	name    string
	address string // IP address
	dir     string // of its settings and logs
	daemon  string // path of the program
	store   *proxy
	report  func(format string, args ...any) // of a broken promise

	mu       sync.Mutex
	process  *os.Process // nil while it does not run
	exited   chan struct{}
	expected bool // its end was brought about by the soak
	starts   int
	pauses   int // in progress
	paused   int // pauses begun so far
}

func (e *entry) callers() string { return net.JoinHostPort(e.address, strconv.Itoa(callersPort)) }

func (e *entry) readiness() string { return net.JoinHostPort(e.address, strconv.Itoa(readinessPort)) }

// writeSettings writes the settings file of the entry.
func (e *entry) writeSettings() error {
	type object map[string]any // JSON of the settings
	raw, err := json.MarshalIndent(object{
		"name": e.name, "zone": "zone-a", "address": e.address, "callers": e.callers(), "readiness": e.readiness(),
		"ports": []int{peerPort, peerPort + 15}, "memory_mb": entryMemoryMB, "cpu_share": 1, "log_level": "debug",
		"store": object{"address": e.store.address()}, "machines": object{"address": e.store.address()},
		"timing": object{"grace_s": grace.Seconds(), "max_lease_ms": maxLeaseMs, "retention_s": retention.Seconds()},
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(e.settings(), raw, 0o600), "write settings")
}

func (e *entry) settings() string { return filepath.Join(e.dir, e.name+".json") }

// start starts the process unless it runs.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return nil
	}
	e.starts++
	log, err := os.Create(filepath.Join(e.dir, fmt.Sprintf("%s.%d.log", e.name, e.starts)))
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	cmd := exec.Command(e.daemon, "serve", "--config", e.settings())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errors.Wrapf(err, "start %s", e.name)
	}
	e.process, e.expected, e.exited = cmd.Process, false, make(chan struct{})
	go e.await(cmd, log, e.exited)
	return nil
}

// await waits for the end of the process and reports one that nobody has brought about.
func (e *entry) await(cmd *exec.Cmd, log *os.File, exited chan struct{}) {
	err := cmd.Wait()
	_ = log.Close()
	e.mu.Lock()
	expected := e.expected
	e.process = nil
	e.mu.Unlock()
	close(exited)
	if !expected {
		e.report("%s ended by itself: %v, see %s", e.name, err, log.Name())
	}
}

// signal sends a signal to the process, if it runs.
func (e *entry) signal(s syscall.Signal) (exited chan struct{}, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		return nil, false
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		e.expected = true
	}
	_ = e.process.Signal(s) // fails if it has just ended
	return e.exited, true
}

// kill ends the process without notice.
func (e *entry) kill() {
	if exited, ok := e.signal(syscall.SIGKILL); ok {
		<-exited
	}
}

// stop asks the process to end, and reports one that does not within the grace period, unless it was
// paused meanwhile.
func (e *entry) stop() {
	before, pausing := e.pauseCounts()
	exited, ok := e.signal(syscall.SIGTERM)
	if !ok {
		return
	}
	select {
	case <-exited:
		return
	case <-time.After(grace + exitSlack):
	}
	if after, _ := e.pauseCounts(); after == before && pausing == 0 {
		e.report("%s did not end within %s of the stop signal", e.name, grace+exitSlack)
	}
	e.kill()
}

// pause suspends the process until resume is called as often.
func (e *entry) pause() {
	e.signal(syscall.SIGSTOP)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pauses++
	e.paused++
}

func (e *entry) resume() {
	e.mu.Lock()
	e.pauses--
	last := e.pauses == 0
	e.mu.Unlock()
	if last {
		e.signal(syscall.SIGCONT)
	}
}

// pauseCounts returns how many pauses have begun so far and how many are in progress.
func (e *entry) pauseCounts() (begun, inProgress int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paused, e.pauses
}
