package rest_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
)

func start(t *testing.T) (p *fake.Platform, c *rest.Client) {
	p = fake.New(fake.WithLimits(10_000, 10_000))
	s := httptest.NewServer(rest.Handler(p.View("z")))
	c = rest.New(s.URL)
	t.Cleanup(func() { c.Close(); s.Close() })
	return p, c
}

// TestErrors checks that each fault reaches the client as the error type that tells a caller
// whether the call had an effect, for a write and for a read.
func TestErrors(t *testing.T) {
	ctx := context.Background()
	write := func(c *rest.Client) error {
		return c.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "k", Value: []byte("v")}}})
	}
	read := func(c *rest.Client) error {
		_, err := c.Get(ctx, "k")
		return err
	}
	for _, tc := range []struct {
		fault  fake.Fault
		call   func(*rest.Client) error
		is     func(error) bool
		name   string
		effect bool
	}{
		{fake.FaultNone, write, func(err error) bool { return err == nil }, "write", true},
		{fake.FaultDown, write, platform.IsNotDone, "write", false},
		{fake.FaultLostBefore, write, platform.IsUnknown, "write", false},
		{fake.FaultLostAfter, write, platform.IsUnknown, "write", true},
		{fake.FaultDown, read, platform.IsNotDone, "read", false},
		{fake.FaultLostBefore, read, platform.IsNotDone, "read", false},
		{fake.FaultLostAfter, read, platform.IsNotDone, "read", false},
	} {
		t.Run(tc.name+" "+string(tc.fault), func(t *testing.T) {
			p, c := start(t)
			if tc.fault != fake.FaultNone {
				p.SetRules(fake.Rule{Fault: tc.fault})
			}
			err := tc.call(c)
			qt.Check(t, tc.is(err), qt.IsTrue, qt.Commentf("%v", err))
			p.SetRules()
			item, err := c.Get(ctx, "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, item.Version > 0, qt.Equals, tc.effect)
		})
	}
	t.Run("conflict", func(t *testing.T) {
		_, c := start(t)
		qt.Assert(t, write(c), qt.IsNil)
		err := c.Commit(ctx, platform.Txn{Conditions: []platform.Condition{{Key: "k"}}})
		qt.Check(t, platform.IsConflict(err), qt.IsTrue, qt.Commentf("%v", err))
	})
	t.Run("connection refused", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		_ = ln.Close()
		qt.Check(t, platform.IsNotDone(write(rest.New("http://"+ln.Addr().String()))), qt.IsTrue)
	})
	t.Run("no answer in time", func(t *testing.T) {
		release := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer s.Close()
		defer close(release)
		c := rest.New(s.URL, rest.WithTimeout(10*time.Millisecond))
		qt.Check(t, platform.IsUnknown(write(c)), qt.IsTrue)
		qt.Check(t, platform.IsNotDone(read(c)), qt.IsTrue)
	})
	t.Run("malformed answer", func(t *testing.T) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }))
		defer s.Close()
		c := rest.New(s.URL)
		qt.Check(t, platform.IsUnknown(write(c)), qt.IsTrue)
		qt.Check(t, platform.IsNotDone(read(c)), qt.IsTrue)
	})
}

// TestOperations calls every operation over HTTP.
func TestOperations(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	p, cl := start(t)
	p.AddVM(platform.ListedVM{Name: "w1", Zone: "z", Role: platform.RoleWorker, Address: "h:1"})

	c.Assert(cl.PutObject(ctx, "snapshots/1", []byte("data")), qt.IsNil)
	data, err := cl.GetObject(ctx, "snapshots/1")
	c.Assert(err, qt.IsNil)
	c.Check(string(data), qt.Equals, "data")
	names, err := cl.ListObjects(ctx, "snapshots/")
	c.Assert(err, qt.IsNil)
	c.Check(names, qt.DeepEquals, []string{"snapshots/1"})
	_, err = cl.GetObject(ctx, "nothing")
	c.Check(platform.IsRefused(err), qt.IsTrue)

	list, err := cl.ListVMs(ctx, "z")
	c.Assert(err, qt.IsNil)
	c.Check(list.VMs, qt.HasLen, 1)
	status, err := cl.VMStatus(ctx, "w1")
	c.Assert(err, qt.IsNil)
	c.Assert(cl.Drain(ctx, "w1", status.Boot), qt.IsNil)
	c.Assert(cl.Undrain(ctx, "w1"), qt.IsNil)
	c.Check(platform.IsRefused(cl.Reboot(ctx, "w1", "op", status.Boot+1)), qt.IsTrue)
	c.Assert(cl.Reboot(ctx, "w1", "op", status.Boot), qt.IsNil)
	c.Assert(cl.Reboot(ctx, "w1", "op", status.Boot), qt.IsNil, qt.Commentf("the same operation again has no further effect"))
	c.Check(platform.IsRefused(cl.Drain(ctx, "nothing", 1)), qt.IsTrue)

	spec := platform.TaskSpec{ID: "t1", VM: "w1", Cpus: 2, MemoryMB: 64, LeaseMs: 60_000}
	c.Assert(cl.StartTask(ctx, spec), qt.IsNil)
	c.Assert(cl.StartTask(ctx, spec), qt.IsNil)
	c.Assert(cl.RenewTask(ctx, "t1", 60_000), qt.IsNil)
	c.Assert(cl.ThrottleTask(ctx, "t1", 1), qt.IsNil)
	report := func() platform.TaskReport {
		reports, err := cl.ReportTasks(ctx, "w1")
		c.Assert(err, qt.IsNil)
		c.Assert(reports, qt.HasLen, 1)
		return reports[0]
	}
	c.Check(report().State, qt.Equals, platform.TaskThrottled)
	c.Check(report().Cpus, qt.Equals, 1.0)
	c.Assert(cl.CheckpointTask(ctx, "t1", "checkpoints/t1"), qt.IsNil)
	c.Check(report().State, qt.Equals, platform.TaskStopped)
	c.Check(platform.IsRefused(cl.RenewTask(ctx, "t1", 1)), qt.IsTrue, qt.Commentf("a stopped task has no lease"))
	c.Assert(cl.StopTask(ctx, "t1"), qt.IsNil)
}
