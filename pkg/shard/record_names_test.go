package shard

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRecordNamesDuringWrite guards against starting tasks at a worker while the write of a record without it is under
// way: it may have been carried out.
func TestRecordNamesDuringWrite(t *testing.T) {
	for name, committed := range map[string]bool{"carried out": true, "refused": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			part := partOf("w1")
			r := &workerRecord{}
			write := func(boots ...string) *batch {
				b := &batch{record: true, parts: []int{part}, leased: &[recordParts][]leasedWorker{}}
				for _, boot := range boots {
					b.leased[part] = append(b.leased[part], leasedWorker{Boot: boot})
				}
				r.startWrite(b)
				return b
			}
			r.applyOutcome(write("w1"), true)
			c.Check(r.names("w1", "w1"), qt.IsTrue)
			b := write("w51")
			c.Check(r.names("w1", "w1"), qt.IsFalse)
			c.Check(r.names("w51", "w51"), qt.IsFalse)
			r.applyOutcome(b, committed)
			c.Check(r.names("w1", "w1"), qt.IsFalse)
			c.Check(r.names("w51", "w51"), qt.Equals, committed)
			c.Check(r.changed[part], qt.Equals, !committed)
		})
	}
}
