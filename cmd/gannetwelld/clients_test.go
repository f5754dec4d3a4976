package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/platform/standin"
)

// Settings of the daemon, and what follows from them.
const (
	memoryMB       = 64
	maxDescriptors = 600
	callersPort    = "8624"
	readinessPort  = "8622"
	operatorsPort  = "9464"
	peerPort       = 7060
)

// Times of the test; none of them decides on a crowd.
const (
	sendTimeout   = 5 * time.Second // of one connection that the daemon does not read
	answerTimeout = 4 * time.Second // of one try
	answerTries   = 15
	tryPause      = 300 * time.Millisecond
)

// crowd is a number of clients that send the same.
type crowd struct {
	Name        string `json:"name"`
	Listener    string `json:"listener"` // callers if empty
	Connections int    `json:"connections"`
	Start       string `json:"start"`
	Piece       string `json:"piece"`
	PieceBytes  int    `json:"piece_bytes"` // the piece is repeated up to this length
	Pieces      int    `json:"pieces"`
	Chunked     bool   `json:"chunked"` // each piece is a chunk
	ShortBytes  int    `json:"short_bytes"`
	End         string `json:"end"`
	Returns     bool   `json:"returns"` // sent several times to one daemon, too
}

// text returns what each client sends.
func (cr *crowd) text() []byte {
	piece := cr.Piece
	if cr.PieceBytes > 0 {
		piece = strings.Repeat(cr.Piece, cr.PieceBytes)
	}
	if cr.Chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	var b bytes.Buffer
	b.WriteString(cr.Start)
	for i := range cr.Pieces {
		b.WriteString(strings.ReplaceAll(piece, "NUMBER", strconv.FormatInt(int64(i), 36)))
	}
	b.Truncate(b.Len() - cr.ShortBytes)
	b.WriteString(cr.End)
	return b.Bytes()
}

// send opens the connections, sends on each until the daemon takes no more, and leaves them open.
func (cr *crowd) send(address string) (conns []net.Conn) {
	text := cr.text()
	var mu sync.Mutex
	var senders sync.WaitGroup
	for i := range cr.Connections {
		senders.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			_, _ = conn.Write(bytes.ReplaceAll(text, []byte("JOB"), fmt.Appendf(nil, "%016x", i+1))) // the daemon may close
		})
	}
	senders.Wait()
	return conns
}

// daemon is a running gannetwelld.
type daemon struct {
	address string // IP address
	process *os.Process
	exited  chan struct{}
}

func (d *daemon) at(listener string) string {
	port := callersPort
	switch listener {
	case "readiness":
		port = readinessPort
	case "operators":
		port = operatorsPort
	}
	return net.JoinHostPort(d.address, port)
}

func (d *daemon) lives() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// memoryKB returns a field of the process status, in KB.
func (d *daemon) memoryKB(t *testing.T, field string) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.Pid))
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			n, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			qt.Assert(t, err, qt.IsNil)
			return n
		}
	}
	t.Fatalf("no %s", field)
	return 0
}

// descriptors returns the number of open descriptors once it has stopped rising.
func (d *daemon) descriptors(t *testing.T) (n int) {
	for range answerTries {
		all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.Pid))
		qt.Assert(t, err, qt.IsNil)
		if len(all) <= n {
			break
		}
		n = len(all)
		time.Sleep(tryPause)
	}
	return n
}

// noEvents observes workers for nobody.
type noEvents struct{ fake.WorkersObserver }

// queue is where ordinary clients submit jobs.
var queue = standin.Queue{Host: "jobs.example", Prefix: "/q/", Pool: "pool", MaxAttempts: 3}

// startDaemon starts a daemon beside a stand-in of the platform; both end with the test.
func startDaemon(t *testing.T, program string, host int) *daemon {
	workers := fake.NewWorkers(0, time.Second, time.Second, func(string, string) fake.Work { return fake.Work{} }, noEvents{})
	p, err := standin.New(fake.NewRows(0, time.Second), workers, queue)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(p.Close)
	const firstRange, ranges = 220, 30 // of loopback addresses
	d := &daemon{address: fmt.Sprintf("127.%d.%d.%d", firstRange+os.Getpid()%ranges, os.Getpid()/ranges%250, host), exited: make(chan struct{})}
	type object map[string]any // JSON of the settings
	raw, err := json.Marshal(object{
		"name": "entry", "zone": "zone", "address": d.address, "callers": d.at("callers"), "readiness": d.at("readiness"),
		"ports": []int{peerPort, peerPort + 15}, "memory_mb": memoryMB, "cpu_share": 1,
		"store": object{"address": p.Address()}, "machines": object{"address": p.Address()},
		"timing": object{"grace_s": 6, "max_lease_ms": 10_000, "retention_s": 120},
	})
	qt.Assert(t, err, qt.IsNil)
	settings := filepath.Join(t.TempDir(), "settings.json")
	qt.Assert(t, os.WriteFile(settings, raw, 0o600), qt.IsNil)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	qt.Assert(t, err, qt.IsNil)
	cmd := exec.Command(program, "serve", "--config", settings)
	cmd.Stdout, cmd.Stderr = log, log
	qt.Assert(t, cmd.Start(), qt.IsNil)
	d.process = cmd.Process
	go func() {
		_ = cmd.Wait() // its end is what the test looks at
		close(d.exited)
	}()
	t.Cleanup(func() {
		_ = d.process.Kill()
		<-d.exited
		_ = log.Close()
		if raw, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("end of the log: %s", raw[max(0, len(raw)-2000):])
		}
	})
	return d
}

// answers reports whether an ordinary submission is accepted in one of several tries.
func (d *daemon) answers(id string) bool {
	for range answerTries {
		caller := standin.NewCaller(queue)
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		out := caller.Submit(ctx, d.at("callers"), id, standin.Job{Spec: "x", Steps: []standin.Step{{Count: 1, CPU: 10}}})
		cancel()
		caller.Close()
		if out == standin.OutcomeDone {
			return true
		}
		time.Sleep(tryPause)
	}
	return false
}

// buildDaemon builds the program.
func buildDaemon(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "gannetwelld")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

func readCrowds(t *testing.T) (crowds []crowd) {
	raw, err := os.ReadFile(filepath.Join("testdata", "crowds.json"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, json.Unmarshal(raw, &crowds), qt.IsNil)
	return crowds
}

// TestClientsBeyondTheLimits guards against crowds of clients that make a daemon exceed its memory, end, or
// answer ordinary clients no more.
func TestClientsBeyondTheLimits(t *testing.T) {
	program := buildDaemon(t)
	for i, cr := range readCrowds(t) {
		t.Run(cr.Name, func(t *testing.T) {
			c := qt.New(t)
			d := startDaemon(t, program, i+1)
			c.Assert(d.answers("ffffffffffffff01"), qt.IsTrue)
			before := d.memoryKB(t, "VmRSS")
			conns := cr.send(d.at(cr.Listener))
			defer func() {
				for _, conn := range conns {
					_ = conn.Close()
				}
			}()
			answered := d.answers("ffffffffffffff02")
			c.Assert(d.lives(), qt.IsTrue)
			now, peak, fds := d.memoryKB(t, "VmRSS"), d.memoryKB(t, "VmHWM"), d.descriptors(t)
			t.Logf("resident %d -> %d KB, at most %d KB; %d descriptors; answered %v", before, now, peak, fds, answered)
			c.Check(peak < memoryMB<<10, qt.IsTrue, qt.Commentf("%d KB", peak))
			c.Check(fds < maxDescriptors, qt.IsTrue, qt.Commentf("%d", fds))
			c.Check(answered, qt.IsTrue)
			for _, conn := range conns {
				_ = conn.Close()
			}
			c.Check(d.answers("ffffffffffffff03"), qt.IsTrue)
		})
	}
}

// TestCrowdsThatReturn guards against memory that a crowd leaves behind when it has left, so that crowds add up.
func TestCrowdsThatReturn(t *testing.T) {
	const (
		times      = 3
		afterCrowd = 3 * time.Second
		firstHost  = 110
	)
	program := buildDaemon(t)
	for i, cr := range readCrowds(t) {
		if !cr.Returns {
			continue
		}
		t.Run(cr.Name, func(t *testing.T) {
			c := qt.New(t)
			d := startDaemon(t, program, firstHost+i)
			c.Assert(d.answers("ffffffffffffff01"), qt.IsTrue)
			for range times {
				for _, conn := range cr.send(d.at(cr.Listener)) {
					_ = conn.Close()
				}
				time.Sleep(afterCrowd)
				c.Assert(d.lives(), qt.IsTrue)
				now, peak := d.memoryKB(t, "VmRSS"), d.memoryKB(t, "VmHWM")
				t.Logf("resident %d KB, at most %d KB", now, peak)
				c.Check(now < memoryMB<<10, qt.IsTrue, qt.Commentf("%d KB", now))
				c.Check(peak < memoryMB<<10, qt.IsTrue, qt.Commentf("%d KB", peak))
			}
			c.Check(d.answers("ffffffffffffff02"), qt.IsTrue)
		})
	}
}

// TestSlowClientsWithinTheLimits guards against limits that a single request inside the pages' limits meets: a
// head and a body of the greatest length, whole and in pieces with pauses, are read and judged.
func TestSlowClientsWithinTheLimits(t *testing.T) {
	const (
		headBytes = 16384 // of the stand-in's configuration
		bodyBytes = 1 << 20
		pieces    = 8
		pause     = 250 * time.Millisecond
	)
	head := func(fields string) string {
		start := "POST /q/ffffffffffffff04 HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\n" + fields + "X: "
		return start + strings.Repeat("a", headBytes-len(start)-len("\r\n\r\n")) + "\r\n\r\n"
	}
	body := `{"task-spec":"x","steps":[{"count":1,"cpu":10}],"a":"` + strings.Repeat("a", bodyBytes)
	body = body[:bodyBytes-2] + `"}`
	program := buildDaemon(t)
	d := startDaemon(t, program, 100)
	qt.Assert(t, d.answers("ffffffffffffff01"), qt.IsTrue)
	for name, text := range map[string]string{
		"length":  head(fmt.Sprintf("Deadline-Ms: 20000\r\nContent-Length: %d\r\n", bodyBytes)) + body,
		"chunked": head("Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", bodyBytes, body),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", d.at("callers"))
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			for i := range pieces {
				_, err := conn.Write([]byte(text[len(text)*i/pieces : len(text)*(i+1)/pieces]))
				c.Assert(err, qt.IsNil)
				time.Sleep(pause)
			}
			answer, err := io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
			c.Check(strings.HasPrefix(string(answer), "HTTP/1.1 200 "), qt.IsTrue, qt.Commentf("%s", answer))
		})
	}
}

// TestHeadLimitOfTheConfiguration guards against a limit on heads that nothing applies: one of twice its length is
// refused.
func TestHeadLimitOfTheConfiguration(t *testing.T) {
	c := qt.New(t)
	const headBytes = 2 * 16384 // the limit of the stand-in's configuration, twice
	d := startDaemon(t, buildDaemon(t), 101)
	c.Assert(d.answers("ffffffffffffff01"), qt.IsTrue)
	conn, err := net.Dial("tcp", d.at("callers"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /q/ HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\nX: "+strings.Repeat("a", headBytes)+"\r\n\r\n")
	c.Assert(err, qt.IsNil)
	answer, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Check(strings.HasPrefix(string(answer), "HTTP/1.1 431 "), qt.IsTrue, qt.Commentf("%s", answer))
}
