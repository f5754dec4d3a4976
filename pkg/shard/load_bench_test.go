package shard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkBusyOwner has one owner carry a pool of 250 workers through three
// seconds of 170 jobs a second, as a pool of the grown deployments in its turn.
func BenchmarkBusyOwner(b *testing.B) {
	for range b.N {
		synctest.Test(new(testing.T), func(*testing.T) {
			e := newEstate(b)
			defer e.close()
			for i := range 250 {
				e.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("w%d", i), fmt.Sprintf("w%d", i), "32000", "0")
			}
			e.own("a")
			time.Sleep(time.Second)
			for i := range 510 {
				go e.submit("a", "", fmt.Sprintf("%016x", i), "8x4100/640ms 8x4100/640ms<0")
				time.Sleep(time.Second / 170)
			}
			time.Sleep(4 * time.Second)
		})
	}
}
