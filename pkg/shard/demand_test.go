package shard

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
)

// maxEndingBytes keeps four answers a second below a twentieth of a link of 10 Mbit/s.
const maxEndingBytes = 10_000

// A pool of any size lists a bounded number of VMs, those that are empty soonest.
func TestEndingIsBounded(t *testing.T) {
	c := qt.New(t)
	var vms []EndingVM
	for i := range 1460 {
		vms = append(vms, EndingVM{VM: fmt.Sprintf("m-%05d", i), LeftMs: (i*37)%1460 + 1})
	}
	got := soonestEnding(vms)
	c.Assert(got, qt.HasLen, maxEndingVMs)
	for i, v := range got {
		c.Check(v.LeftMs, qt.Equals, i+1)
	}
	raw, err := msgpack.Marshal(Load{Ending: got})
	c.Assert(err, qt.IsNil)
	c.Check(len(raw) <= maxEndingBytes, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
}

// A load without the fields of this version is read.
func TestLoadOfEarlierVersion(t *testing.T) {
	c := qt.New(t)
	raw, err := msgpack.Marshal(struct {
		Workers int
		Light   []string
	}{3, []string{"v1"}})
	c.Assert(err, qt.IsNil)
	var l Load
	c.Assert(msgpack.Unmarshal(raw, &l), qt.IsNil)
	c.Check(l.Workers, qt.Equals, 3)
	c.Check(l.Held, qt.Equals, Demand{})
	c.Check(l.Ending, qt.HasLen, 0)
}
