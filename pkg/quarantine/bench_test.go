package quarantine

import (
	"testing"
	"time"
)

// BenchmarkLostWorker measures counting a lost worker against its thirteen tasks.
func BenchmarkLostWorker(b *testing.B) {
	attempts := make([]Attempt, 13)
	for i := range attempts {
		attempts[i].Ran = time.Duration(i) * time.Second
	}
	b.ReportAllocs()
	for i := range b.N {
		for k, counted := range Counted(attempts) {
			if counted {
				_ = Losses{}.With(Loss{Attempt: int64(i), Boot: "boot", Ran: attempts[k].Ran}).Restriction()
			}
		}
	}
}

// BenchmarkRestriction measures the restriction of a task without losses, which every placement
// pass asks for.
func BenchmarkRestriction(b *testing.B) {
	var ls Losses
	b.ReportAllocs()
	for range b.N {
		if ls.Restriction() != Unrestricted {
			b.Fatal("not clear")
		}
	}
}
