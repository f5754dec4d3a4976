package soak

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/platform/standin"
)

const (
	// crowdDescriptors is the descriptor limit of the entry beside a crowd.
	crowdDescriptors = 200
	// spareDescriptors is how many of them stay free for the entry's own connections.
	spareDescriptors = crowdDescriptors / 8
	// crowdConns is the number of connections of a crowd that sends little.
	crowdConns = 2 * crowdDescriptors
	// largeConns is the number of connections of a crowd that sends large frames.
	largeConns = 24
	// largeFrame is the size of each in bytes.
	largeFrame = 16 << 20
	// answerTime is how long an answer may take, however busy the machine is.
	answerTime = 3 * time.Minute
	// crowdCallTimeout is how long a caller waits for one answer.
	crowdCallTimeout = 10 * time.Second
	// crowdTime is how long a crowd stays.
	crowdTime = 3 * time.Second
	// operatorsPort is the port of the operators' requests.
	operatorsPort = "9464"
)

// crowdTest is an entry with few descriptors.
type crowdTest struct {
	*soak
	t     *testing.T
	entry *entry
	jobs  int // submitted
}

// startCrowdTest starts an entry, the stand-in of the platform and one worker.
func startCrowdTest(t *testing.T) *crowdTest {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "../../../cmd/gannetwelld", "../../../cmd/gannetbench").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	limited := filepath.Join(dir, "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec '%s' \"$@\"\n", crowdDescriptors, filepath.Join(dir, "gannetwelld"))
	qt.Assert(t, os.WriteFile(limited, []byte(script), 0o700), qt.IsNil)
	s := &soak{
		o:   Options{Seed: 1, Entries: 1, Workers: 1, Daemon: limited, Bench: filepath.Join(dir, "gannetbench"), Dir: dir, Log: t.Output()},
		ctx: context.Background(), since: time.Now(),
	}
	s.check = newChecker(s.report)
	t.Cleanup(s.close)
	qt.Assert(t, s.startPlatform(), qt.IsNil)
	qt.Assert(t, s.addWorkers(), qt.IsNil)
	qt.Assert(t, s.startEntries(), qt.IsNil)
	c := &crowdTest{soak: s, t: t, entry: s.entries[0]}
	c.checkSubmission("before the crowd")
	return c
}

// checkSubmission checks that a new caller's submission is accepted.
func (c *crowdTest) checkSubmission(when string) {
	c.t.Helper()
	job := standin.Job{Spec: "crowd", Steps: []standin.Step{{Count: 1, CPU: 100, EstimateMs: 10}}}
	var out standin.Outcome
	for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(settlePoll) {
		c.jobs++
		caller := standin.NewCaller(queue)
		ctx, cancel := context.WithTimeout(context.Background(), crowdCallTimeout)
		out = caller.Submit(ctx, c.entry.callers(), fmt.Sprintf("%016x", c.jobs), job)
		cancel()
		caller.Close()
		if out == standin.OutcomeDone || !c.lives() {
			break
		}
	}
	qt.Check(c.t, out, qt.Equals, standin.OutcomeDone, qt.Commentf("%s", when))
}

// lives reports whether the process runs.
func (c *crowdTest) lives() bool {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	return c.entry.process != nil
}

// checkProcess checks that the process lives within its bounds.
func (c *crowdTest) checkProcess(when string) {
	c.t.Helper()
	c.entry.mu.Lock()
	process := c.entry.process
	c.entry.mu.Unlock()
	if process == nil {
		c.t.Fatalf("the entry has ended %s", when)
	}
	proc := filepath.Join("/proc", strconv.Itoa(process.Pid))
	open, err := os.ReadDir(filepath.Join(proc, "fd"))
	qt.Assert(c.t, err, qt.IsNil)
	qt.Check(c.t, len(open) <= crowdDescriptors-spareDescriptors, qt.IsTrue, qt.Commentf("%d descriptors %s", len(open), when))
	mb := residentMB(c.t, proc)
	qt.Check(c.t, mb <= entryMemoryMB, qt.IsTrue, qt.Commentf("%d MB %s", mb, when))
}

// residentMB returns the resident memory of a process in MB.
func residentMB(t *testing.T, proc string) int {
	status, err := os.ReadFile(filepath.Join(proc, "status"))
	qt.Assert(t, err, qt.IsNil)
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	qt.Assert(t, err, qt.IsNil)
	return kb >> 10
}

// openCrowd opens connections and sends the same on each; the entry may close them.
func openCrowd(address string, n int, sent []byte) (crowd []net.Conn) {
	for range n {
		conn, err := net.DialTimeout("tcp", address, crowdCallTimeout)
		if err != nil {
			continue
		}
		crowd = append(crowd, conn)
		if len(sent) > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(crowdCallTimeout))
			_, _ = conn.Write(sent)
		}
	}
	return crowd
}

// TestCrowdTakesAllDescriptors guards against crowds that take all descriptors or the memory of an entry,
// or end it, at each of its listeners.
func TestCrowdTakesAllDescriptors(t *testing.T) {
	operators := func(e *entry) string { return net.JoinHostPort(e.address, operatorsPort) }
	peers := func(e *entry) string { return net.JoinHostPort(e.address, strconv.Itoa(peerPort)) }
	request := []byte("GET /nowhere HTTP/1.1\r\nHost: jobs.example\r\n\r\n")
	frame := append(binary.BigEndian.AppendUint32(nil, largeFrame), bytes.Repeat([]byte{0}, largeFrame-1)...)
	for _, tc := range []struct {
		name  string
		at    func(e *entry) string
		conns int
		sent  []byte
	}{
		{"silent_callers", (*entry).callers, crowdConns, nil},
		{"idle_callers", (*entry).callers, crowdConns, request},
		{"silent_readiness", (*entry).readiness, crowdConns, nil},
		{"idle_readiness", (*entry).readiness, crowdConns, request},
		{"silent_operators", operators, crowdConns, nil},
		{"idle_operators", operators, crowdConns, request},
		{"silent_peers", peers, crowdConns, nil},
		{"large_frames", peers, largeConns, frame},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startCrowdTest(t)
			crowd := openCrowd(tc.at(c.entry), tc.conns, tc.sent)
			closeCrowd := func() {
				for _, conn := range crowd {
					_ = conn.Close()
				}
			}
			defer closeCrowd()
			time.Sleep(crowdTime)
			c.checkProcess("beside the crowd")
			c.checkSubmission("beside the crowd")
			c.checkProcess("after a submission")
			closeCrowd()
			c.checkSubmission("after the crowd")
			c.checkProcess("after the crowd")
		})
	}
}
