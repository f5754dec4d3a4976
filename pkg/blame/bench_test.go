package blame

import (
	"testing"
	"time"
)

// BenchmarkLostWorker counts a lost worker against the thirteen tasks that were there, and
// judges each: 0.65 us and 11 allocations; nothing of it is done while no worker is lost.
func BenchmarkLostWorker(b *testing.B) {
	attempts := make([]Attempt, 13)
	for i := range attempts {
		attempts[i].Ran = time.Duration(i) * time.Second
	}
	b.ReportAllocs()
	for i := range b.N {
		for k, counted := range Counted(attempts) {
			if counted {
				_ = Losses{}.With(Loss{Attempt: int64(i), Boot: "boot", Ran: attempts[k].Ran}).Verdict()
			}
		}
	}
}

// BenchmarkVerdictClear judges a task without losses, as each pass of placement does while
// others have some: 4 ns, no allocation.
func BenchmarkVerdictClear(b *testing.B) {
	var ls Losses
	b.ReportAllocs()
	for range b.N {
		if ls.Verdict() != Clear {
			b.Fatal("not clear")
		}
	}
}
