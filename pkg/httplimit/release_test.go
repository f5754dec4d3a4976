package httplimit_test

import (
	"net/http"
	"testing"

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
