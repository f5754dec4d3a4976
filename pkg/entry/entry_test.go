package entry_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/config"
	"github.com/gannetwell/gannetwell/pkg/entry"
	"github.com/gannetwell/gannetwell/pkg/gateway"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/service/api"
	"github.com/gannetwell/gannetwell/service/client"
	"github.com/gannetwell/gannetwell/service/server"
)

const token = "test-token"

// cluster is a group of entries over one fake platform.
type cluster struct {
	t     *testing.T
	store *fake.Platform
	seeds []string
	tls   map[string]any // TLS settings of every listener, nil for none
	conns int            // of callers, 0 for the default
}

// node is a running entry.
type node struct {
	*entry.Entry
	done chan error
}

// start runs an entry until the test ends.
func (c *cluster) start(name string) *node {
	listener := func(extra map[string]any) map[string]any {
		m := map[string]any{"address": "127.0.0.1:0"}
		for k, v := range extra {
			m[k] = v
		}
		if c.tls != nil {
			m["tls"] = c.tls
		}
		return m
	}
	gatewaySettings := map[string]any{"stop_notice_ms": 20, "probe_interval_ms": 50}
	if c.conns > 0 {
		gatewaySettings["max_connections"] = c.conns
	}
	doc, err := json.Marshal(map[string]any{
		"name": name, "zone": "z",
		"callers":   listener(nil),
		"operators": listener(map[string]any{"accounts": []schema.Account{{Name: "maria", Role: schema.RoleEdit, TokenSha256: server.HashToken(token)}}}),
		"peers":     listener(map[string]any{"secret": "0123456789abcdef", "seeds": append([]string{}, c.seeds...)}),
		"platform":  map[string]any{"url": "http://unused"},
		"gateway":   gatewaySettings,
		"control":   map[string]any{"step_interval_ms": 50, "sync_interval_ms": 20},
	})
	qt.Assert(c.t, err, qt.IsNil)
	var s schema.Settings
	qt.Assert(c.t, config.Decode(name, doc, config.TargetSettings, &s), qt.IsNil)
	e, err := entry.New(s, entry.WithPlatform(c.store.View("z")))
	qt.Assert(c.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Entry: e, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() {
		n.done <- e.Run(ctx)
		close(ended)
	}()
	c.t.Cleanup(func() { cancel(); <-ended })
	c.seeds = append(c.seeds, e.PeerAddress())
	return n
}

// await polls a condition without a time limit; go test bounds the test.
func await(f func() bool) {
	for !f() {
		time.Sleep(5 * time.Millisecond)
	}
}

func ready(n *node) bool {
	resp, err := http.Get("http://" + n.CallerAddress() + entry.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// commitTable commits a table with one backend server.
func commitTable(t *testing.T, n *node, address string) api.EditResult {
	row := func(kind, name, value string) api.RowChange {
		return api.RowChange{Kind: kind, Name: name, Value: json.RawMessage(value)}
	}
	result, err := client.New("http://"+n.OperatorAddress(), token).Edit(context.Background(), api.EditRequest{
		ID: "fill", Reason: "test", Changes: []api.RowChange{
			row("zone", "z", `{}`), row("rack", "r", `{"zone": "z"}`), row("service", "s", `{}`),
			row("pool", "p", `{"service": "s", "size": 1, "max_unavailable": 0}`),
			row("vm", "w1", fmt.Sprintf(`{"rack": "r", "address": %q, "pool": "p"}`, address)),
			row("route", "live", `{"path_prefix": "/", "service": "s", "class": "live", "repeat": "safe"}`),
		},
	})
	qt.Assert(t, err, qt.IsNil)
	return result
}

// TestOutage starts an entry during a platform outage: with a peer it loads the table and
// serves, without one it does not become ready.
func TestOutage(t *testing.T) {
	c := qt.New(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }))
	defer backend.Close()
	cl := &cluster{t: t, store: fake.New()}
	first := cl.start("entry-1")
	await(func() bool { return ready(first) })
	result := commitTable(t, first, strings.TrimPrefix(backend.URL, "http://"))

	cl.store.SetRules(fake.Rule{Fault: fake.FaultDown})
	second := cl.start("entry-2")
	await(func() bool { return ready(second) })
	resp, err := http.Get("http://" + second.CallerAddress() + "/x")
	c.Assert(err, qt.IsNil)
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	c.Check(string(body), qt.Equals, "hello")
	c.Check(resp.Header.Get(gateway.HeaderRevision), qt.Equals, fmt.Sprint(result.Revision))

	backend.Close()
	resp, err = http.Get("http://" + second.CallerAddress() + "/x")
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Check(resp.Header.Get(gateway.HeaderOutcome), qt.Not(qt.Equals), string(gateway.OutcomeRan))
	why, err := client.New("http://"+second.OperatorAddress(), token).Explain(context.Background(), "request", resp.Header.Get(gateway.HeaderRequestID))
	c.Assert(err, qt.IsNil)
	c.Check(strings.Join(why.Sentences, "\n"), qt.Contains, "The reason was "+resp.Header.Get(gateway.HeaderReason))

	alone := &cluster{t: t, store: cl.store}
	third := alone.start("entry-3")
	for range 20 {
		c.Check(ready(third), qt.IsFalse)
		time.Sleep(5 * time.Millisecond)
	}
	cl.store.SetRules()
	await(func() bool { return ready(third) })
}

// echoBody answers with what arrives, at once.
func echoBody(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	_ = rc.Flush()
	buf := make([]byte, 64)
	for {
		n, err := r.Body.Read(buf)
		_, _ = w.Write(buf[:n])
		_ = rc.Flush()
		if err != nil {
			return
		}
	}
}

// TestPlannedStop stops an entry while a stream is open: the entry becomes not ready at once,
// the stream continues to its end, and then Run returns without an error.
func TestPlannedStop(t *testing.T) {
	c := qt.New(t)
	backend := httptest.NewServer(http.HandlerFunc(echoBody))
	defer backend.Close()
	cl := &cluster{t: t, store: fake.New()}
	n, other := cl.start("entry-1"), cl.start("entry-2")
	await(func() bool { return ready(n) && ready(other) })
	commitTable(t, n, strings.TrimPrefix(backend.URL, "http://"))

	pr, pw := io.Pipe()
	resp, err := http.Post("http://"+n.CallerAddress()+"/rooms/1", "text/plain", pr)
	c.Assert(err, qt.IsNil)
	sendLine := func(text string) {
		_, err := io.WriteString(pw, text)
		c.Assert(err, qt.IsNil)
		got := make([]byte, len(text))
		_, err = io.ReadFull(resp.Body, got)
		c.Assert(err, qt.IsNil)
		c.Check(string(got), qt.Equals, text)
	}
	sendLine("good morning")
	n.Stop()
	await(func() bool { return !ready(n) })
	for range 10 {
		time.Sleep(10 * time.Millisecond)
		sendLine("the stream goes on")
	}
	select {
	case err := <-n.done:
		t.Fatalf("the entry ended during a stream: %v", err)
	default:
	}
	_ = pw.Close()
	rest, err := io.ReadAll(resp.Body)
	c.Check(err, qt.IsNil)
	c.Check(rest, qt.HasLen, 0)
	c.Check(<-n.done, qt.IsNil)
	status, err := client.New("http://"+other.OperatorAddress(), token).Status(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(status.Entries, qt.HasLen, 1, qt.Commentf("the peer knows that the entry ended"))
}

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	qt.Assert(t, err, qt.IsNil)
	cert, _ := x509.ParseCertificate(der)
	return &authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate for the loopback address and its key.
func (a *authority) issue(t *testing.T, serial int64, certFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	qt.Assert(t, err, qt.IsNil)
	raw, err := x509.MarshalECPrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600), qt.IsNil)
}

// TestTLS replaces the certificate of a running entry: open connections continue, new ones get
// the new certificate.
func TestTLS(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	cert, key, ca := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")
	a := newAuthority(t)
	c.Assert(os.WriteFile(ca, a.pem, 0o600), qt.IsNil)
	a.issue(t, 2, cert, key)
	cl := &cluster{t: t, store: fake.New(), tls: map[string]any{"cert_file": cert, "key_file": key, "ca_file": ca}}
	first, second := cl.start("entry-1"), cl.start("entry-2")

	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(a.pem)
	cfg := &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	operator := client.New("https://"+second.OperatorAddress(), token, client.WithHTTP(&http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}))
	await(func() bool {
		status, err := operator.Status(context.Background())
		return err == nil && len(status.Entries) == 2 && status.Entries[1].Reached && status.Entries[1].Name == "entry-1"
	})

	serial := func() int64 {
		conn, err := tls.Dial("tcp", first.CallerAddress(), cfg)
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	c.Check(serial(), qt.Equals, int64(2))
	open, err := tls.Dial("tcp", first.CallerAddress(), cfg)
	c.Assert(err, qt.IsNil)
	defer func() { _ = open.Close() }()
	a.issue(t, 3, cert, key)
	await(func() bool { return serial() == 3 })
	_, err = io.WriteString(open, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	got := make([]byte, 12)
	_, err = io.ReadFull(open, got)
	c.Assert(err, qt.IsNil)
	c.Check(string(got), qt.Equals, "HTTP/1.1 404")

	_, err = tls.Dial("tcp", first.PeerAddress(), cfg)
	if err == nil { // with TLS 1.3, the client sees the rejection at its first read
		conn, _ := tls.Dial("tcp", first.PeerAddress(), cfg)
		_, err = conn.Read(make([]byte, 1))
	}
	c.Check(err, qt.IsNotNil, qt.Commentf("a peer listener rejects clients without a certificate"))
}
