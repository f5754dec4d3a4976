//go:build !race

package fleetops

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// largeFleet is the number of VMs in TestLargeFleet.
const largeFleet = 12_000

// Announcements and wave progress of a large fleet fit into table rows, also across a handover.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": largeFleet}}
		wave := Wave{ID: 1, Within: 100 * time.Minute, MaxDown: largeFleet}
		for i := range largeFleet {
			vm := fmt.Sprintf("m-%05x", i)
			s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "off", State: platform.MachineUp, Worker: vm})
			wave.VMs = append(wave.VMs, vm)
		}
		since := time.Now()
		first := s.open(c, "first", since)
		time.Sleep(35 * time.Second)
		c.Check(s.vms.firstOrders("first"), qt.HasLen, largeFleet)
		s.setNeed("a", 0)
		s.mu.Lock()
		s.waves = []Wave{wave}
		s.mu.Unlock()
		time.Sleep(40 * time.Second)
		first.Close()
		second := s.open(c, "second", since)
		defer second.Close()
		time.Sleep(35 * time.Second)
		page, err := s.rows.As("second").ListRows(context.Background(), tableMaintenance, Partition, "1")
		c.Assert(err, qt.IsNil)
		var p waveProgress
		c.Assert(msgpack.Unmarshal(page.Rows[0].Value, &p), qt.IsNil)
		done, count := p.done(wave.vmListHash()), 0
		for at, vm := range wave.VMs {
			if done(vm, at) {
				count++
			}
		}
		c.Check(count, qt.Equals, largeFleet)
	})
}

// Progress stored as VM names is read, and a bitmap of another VM list is ignored.
func TestProgressOfEarlierVersion(t *testing.T) {
	c := qt.New(t)
	w := Wave{VMs: []string{"v1", "v2", "v3"}}
	raw, err := msgpack.Marshal(struct {
		Done []string `msgpack:"d"`
	}{[]string{"v2"}})
	c.Assert(err, qt.IsNil)
	var p waveProgress
	c.Assert(msgpack.Unmarshal(raw, &p), qt.IsNil)
	done := p.done(w.vmListHash())
	c.Check(done("v2", 1), qt.IsTrue)
	c.Check(done("v1", 0), qt.IsFalse)

	other := waveProgress{DoneBits: []byte{7}, VMListHash: w.vmListHash()}
	longer := Wave{VMs: []string{"v0", "v1", "v2", "v3"}}
	c.Check(other.done(longer.vmListHash())("v0", 0), qt.IsFalse)
	c.Check(other.done(w.vmListHash())("v1", 0), qt.IsTrue)
}
