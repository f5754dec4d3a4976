package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/entry"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/service/api"
)

const (
	// crowdDescriptors is the descriptor limit of the entry beside a crowd.
	crowdDescriptors = 200
	// spareDescriptors is how many of them stay free for the entry's own connections.
	spareDescriptors = crowdDescriptors / 8
	// crowdConns is the number of connections of a crowd.
	crowdConns = 2 * crowdDescriptors
	// crowdTime is how long a crowd is watched.
	crowdTime = time.Second
	// answerTime is how long an answer may take, however busy the machine is.
	answerTime = 30 * time.Second
	// tryTime is how long a client waits for one answer.
	tryTime = 2 * time.Second

	// headDescriptors is the descriptor limit beside a crowd that sends large heads.
	headDescriptors = 4096
	// headConns is the number of its connections.
	headConns = 128
	// headBytes is the size of each head, which does not end.
	headBytes = 900 << 10
	// headsMB bounds the memory that the crowd takes.
	headsMB = 64

	crowdSecret = "0123456789abcdef"
)

// process is an entry daemon in a process of its own, with few descriptors.
type process struct {
	t                         *testing.T
	pid                       int
	callers, operators, peers string
}

// startProcess starts an entry with a limit of descriptors until the test ends.
func startProcess(t *testing.T, descriptors int) *process {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/gannetwelld").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	listener := map[string]any{"address": "127.0.0.1:0"}
	doc, err := json.Marshal(map[string]any{
		"name": "entry-1", "zone": "z", "callers": listener,
		"operators": map[string]any{"address": "127.0.0.1:0", "accounts": []schema.Account{}},
		"peers":     map[string]any{"address": "127.0.0.1:0", "secret": crowdSecret, "seeds": []string{}},
		"platform":  map[string]any{"url": "http://127.0.0.1:1"},
	})
	qt.Assert(t, err, qt.IsNil)
	file := filepath.Join(dir, "entry.jsonc")
	qt.Assert(t, os.WriteFile(file, doc, 0o600), qt.IsNil)
	script := fmt.Sprintf("ulimit -n %d && exec '%s' run --config '%s'", descriptors, filepath.Join(dir, "gannetwelld"), file)
	cmd := exec.Command("sh", "-c", script)
	log, err := cmd.StderrPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmd.Start(), qt.IsNil)
	p := &process{t: t, pid: cmd.Process.Pid}
	lines := bufio.NewScanner(log)
	var started struct{ Event, Callers, Operators, Peers string }
	for started.Event != "entry_started" {
		qt.Assert(t, lines.Scan(), qt.IsTrue, qt.Commentf("the entry does not start"))
		_ = json.Unmarshal(lines.Bytes(), &started)
	}
	p.callers, p.operators, p.peers = started.Callers, started.Operators, started.Peers
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		for lines.Scan() {
		}
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-logged
		_ = cmd.Wait()
	})
	return p
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors() int {
	open, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.pid), "fd"))
	qt.Assert(p.t, err, qt.IsNil)
	return len(open)
}

// residentMB returns the resident memory in MB.
func (p *process) residentMB() int {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.pid), "status"))
	qt.Assert(p.t, err, qt.IsNil)
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	qt.Assert(p.t, err, qt.IsNil)
	return kb >> 10
}

// checkServed checks that a new client of each listener gets an answer.
func (p *process) checkServed(when string) {
	p.t.Helper()
	get := func(url string) error {
		client := http.Client{Timeout: tryTime, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	for name, try := range map[string]func() error{
		"callers":   func() error { return get("http://" + p.callers + entry.ReadyPath) },
		"operators": func() error { return get("http://" + p.operators + api.PathHealth) },
		"peers": func() error {
			cl := peer.NewClient(p.peers, crowdSecret)
			defer cl.Close()
			_, err := cl.Exchange(context.Background(), &schema.PeerRequest{})
			return err
		},
	} {
		err := try()
		for end := time.Now().Add(answerTime); err != nil && time.Now().Before(end); err = try() {
			time.Sleep(100 * time.Millisecond)
		}
		qt.Check(p.t, err, qt.IsNil, qt.Commentf("%s %s", name, when))
	}
}

// openCrowd opens connections and sends the same on each until the test ends; the entry may close them.
func openCrowd(t *testing.T, address string, n int, sent []byte) {
	for range n {
		conn, err := net.DialTimeout("tcp", address, tryTime)
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = conn.Close() })
		if len(sent) > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(tryTime))
			_, _ = conn.Write(sent)
		}
	}
}

// TestCrowdTakesAllDescriptors guards against crowds of connections that leave an entry no descriptors for
// connections of its own, or keep new clients out.
func TestCrowdTakesAllDescriptors(t *testing.T) {
	const head = " / HTTP/1.1\r\nHost: gannetwell\r\n"
	callers := func(p *process) string { return p.callers }
	operators := func(p *process) string { return p.operators }
	peers := func(p *process) string { return p.peers }
	for _, tc := range []struct {
		name string
		at   func(*process) string
		each int // descriptors that a connection may need
		sent string
	}{
		{"silent_callers", callers, 2, ""},
		{"idle_callers", callers, 2, "GET" + head + "\r\n"},
		{"half_bodies_of_callers", callers, 2, "POST" + head + "Content-Length: 9\r\n\r\n"},
		{"silent_operators", operators, 1, ""},
		{"idle_operators", operators, 1, "GET" + head + "\r\n"},
		{"silent_peers", peers, 1, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := startProcess(t, crowdDescriptors)
			p.checkServed("before the crowd")
			own := p.descriptors()
			openCrowd(t, tc.at(p), crowdConns, []byte(tc.sent))
			most := 0
			for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(crowdTime / 50) {
				most = max(most, p.descriptors())
			}
			qt.Check(t, own+(most-own)*tc.each <= crowdDescriptors-spareDescriptors, qt.IsTrue,
				qt.Commentf("%d descriptors, %d of them before the crowd", most, own))
			p.checkServed("beside the crowd")
		})
	}
}

// TestLargeHeads guards against the sum of large heads at the listeners for HTTP.
func TestLargeHeads(t *testing.T) {
	var head bytes.Buffer
	head.WriteString("GET / HTTP/1.1\r\nHost: gannetwell\r\n")
	for i := 0; head.Len() < headBytes; i++ {
		fmt.Fprintf(&head, "X-%d: %s\r\n", i, strings.Repeat("a", 1000))
	}
	p := startProcess(t, headDescriptors)
	for name, address := range map[string]string{"callers": p.callers, "operators": p.operators} {
		t.Run(name, func(t *testing.T) {
			before := p.residentMB()
			openCrowd(t, address, headConns, head.Bytes())
			most := 0
			for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(crowdTime / 50) {
				most = max(most, p.residentMB())
			}
			qt.Check(t, most-before <= headsMB, qt.IsTrue, qt.Commentf("%d MB more", most-before))
			p.checkServed("beside the crowd")
		})
	}
}

// TestStreamBesideCrowd checks that a stream whose body goes on stays open beside a crowd of connections, of which few
// stay, and that new callers are served.
func TestStreamBesideCrowd(t *testing.T) {
	const conns = 8
	backend := httptest.NewServer(http.HandlerFunc(echoBody))
	defer backend.Close()
	cl := &cluster{t: t, store: fake.New(), conns: conns}
	n := cl.start("entry-1")
	await(func() bool { return ready(n) })
	commitTable(t, n, strings.TrimPrefix(backend.URL, "http://"))
	pr, pw := io.Pipe()
	resp, err := http.Post("http://"+n.CallerAddress()+"/rooms/1", "text/plain", pr)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	var crowd []net.Conn
	for range 3 * conns {
		conn, err := net.Dial("tcp", n.CallerAddress())
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET "+entry.ReadyPath+" HTTP/1.1\r\nHost: gannetwell\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil)
		crowd = append(crowd, conn)
	}
	client := http.Client{Timeout: answerTime, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + n.CallerAddress() + entry.ReadyPath)
	qt.Assert(t, err, qt.IsNil)
	_ = answer.Body.Close()
	qt.Check(t, answer.StatusCode, qt.Equals, http.StatusOK)
	open := 0
	for _, conn := range crowd {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	qt.Check(t, open < conns, qt.IsTrue, qt.Commentf("%d connections of the crowd are open", open))
	const text = "the stream goes on"
	_, err = io.WriteString(pw, text)
	qt.Assert(t, err, qt.IsNil)
	got := make([]byte, len(text))
	_, err = io.ReadFull(resp.Body, got)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, text)
	_ = pw.Close()
}
