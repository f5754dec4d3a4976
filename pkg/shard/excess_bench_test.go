package shard_test

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkWaitingJobs runs three seconds of a full pool in which a number of jobs of eight tasks wait. The
// processor time and the passes of placement show how the work of an owner grows with the jobs that it has
// accepted. In virtual time a pass takes no time, so that nothing spaces the passes.
func BenchmarkWaitingJobs(b *testing.B) {
	for _, waiting := range []int{0, 500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("clock=virtual/jobs=%d", waiting), func(b *testing.B) {
			for range b.N {
				synctest.Test(new(testing.T), func(*testing.T) { fullPool(b, waiting) })
			}
		})
		b.Run(fmt.Sprintf("clock=real/jobs=%d", waiting), func(b *testing.B) {
			for range b.N {
				fullPool(b, waiting)
			}
		})
	}
}

// fullPool keeps 80 workers busy with tasks of 300 ms, about 1,000 starts a second, while jobs wait.
func fullPool(b *testing.B, waiting int) {
	e := newTestCluster(b)
	defer e.close()
	e.addWorkers(80, "4000")
	e.startOwner("a")
	time.Sleep(time.Second)
	for i := range 400 + waiting {
		go e.submit("a", "", fmt.Sprintf("%016x", i), "8x1000/300ms")
	}
	time.Sleep(time.Second)
	before := processorTime(b)
	passes := e.owners["a"].Passes()
	time.Sleep(benchSeconds * time.Second)
	b.ReportMetric(float64(e.owners["a"].Passes()-passes)/benchSeconds, "passes/s")
	b.ReportMetric(float64((processorTime(b)-before).Milliseconds())/benchSeconds, "cpu-ms/s")
	b.ReportMetric(0, "ns/op") // of the virtual clock
}

// benchSeconds is how long BenchmarkWaitingJobs measures, in seconds of virtual time.
const benchSeconds = 3

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
