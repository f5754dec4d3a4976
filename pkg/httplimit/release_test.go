package httplimit_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/httplimit"
)

// TestReleasedOnce guards against bytes of a connection that was closed for another one and that are released twice: the
// budget would be larger meanwhile.
func TestReleasedOnce(t *testing.T) {
	f := start(t, httplimit.MaxConns(1))
	f.client(t, post("/refused", maxBodyBytes)+text(maxBodyBytes-1))
	waitFor(t, func() bool { return f.budget.Used() > maxBodyBytes })
	other := f.client(t, post("/hold", 3)+"abc")
	f.awaitActing(t)
	f.awaitActing(t)
	qt.Check(t, f.budget.Used() > 0, qt.IsTrue, qt.Commentf("%d", f.budget.Used()))
	close(f.proceed)
	status, _ := other.answer(t)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	waitFor(t, func() bool { return f.budget.Used() == 0 })
}

// TestRefusedBodyReleases guards against a body that was refused and keeps its bytes while it is answered.
func TestRefusedBodyReleases(t *testing.T) {
	f := start(t)
	client := f.client(t, "POST /refused HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n"+text(maxBodyBytes+1))
	f.awaitActing(t)
	qt.Check(t, f.budget.Used() < maxBodyBytes, qt.IsTrue, qt.Commentf("%d", f.budget.Used()))
	close(f.proceed)
	status, _ := client.answer(t)
	qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
}

// TestClosedConnectionReleases guards against bytes that stay reserved after their client has left.
func TestClosedConnectionReleases(t *testing.T) {
	f := start(t)
	client := f.client(t, "GET / HTTP/1.1\r\nX: "+text(maxHeadBytes/2))
	waitFor(t, func() bool { return f.budget.Used() > maxHeadBytes/2 })
	_ = client.Close()
	waitFor(t, func() bool { return f.budget.Used() == 0 })
}

// TestWaiterIsWoken guards against a connection that waits for room and goes on to wait after it had to give way itself.
func TestWaiterIsWoken(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	f.budget.SetReleaseTimeout(time.Hour)
	head := func(path string, length int) string {
		start := "GET " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\nX: "
		return start + text(length-len(start)-len("\r\n\r\n")) + "\r\n\r\n"
	}
	const headCost = 16                          // of a byte
	f.client(t, head("/stall", 43<<10/headCost)) // the longest, which releases nothing
	f.awaitActing(t)
	waiter := f.client(t, post("/", maxBodyBytes)+text(maxBodyBytes))
	waitFor(t, func() bool { return f.budget.GivingWay() == 1 })
	newest := f.client(t, head("/none", 60<<10/headCost)) // takes more than the longest has
	status, body := waiter.answer(t)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(body, qt.Equals, string(httplimit.RefusalBudget))
	close(f.proceed)
	status, _ = newest.answer(t)
	c.Check(status, qt.Equals, http.StatusNotFound)
}

// TestAnswerBeforeTheClose guards against a client that sends on and loses its answer to the close of the connection.
func TestAnswerBeforeTheClose(t *testing.T) {
	for name, test := range map[string]struct {
		send   string
		status int
	}{
		"head": {"GET / HTTP/1.1\r\nHost: h\r\nX: " + text(3*maxHeadBytes+4096), http.StatusRequestHeaderFieldsTooLarge},
		"body": {post("/", 1<<20) + text(3*maxBodyBytes), http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			client := f.client(t, test.send)
			status, _ := client.answer(t)
			qt.Check(t, status, qt.Equals, test.status)
			waitFor(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.halfClosed == 1
			})
		})
	}
}
