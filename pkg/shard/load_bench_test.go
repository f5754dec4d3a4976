package shard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quota"
)

// BenchmarkBusyOwner runs three seconds of 170 jobs a second in a pool of 250 workers, without
// accounts and with jobs spread over accounts whose limits do not bind.
func BenchmarkBusyOwner(b *testing.B) {
	for _, accounts := range []int{0, 20, 200, 2000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			for range b.N {
				synctest.Test(new(testing.T), func(*testing.T) { busyOwner(b, accounts) })
			}
		})
	}
}

func busyOwner(b *testing.B, accounts int) {
	e := newTestCluster(b)
	defer e.close()
	e.addWorkers(250, "32000")
	shares := map[string]float64{}
	for i := range accounts {
		name := fmt.Sprintf("account-%d", i)
		e.limits = append(e.limits, catalog.Account{Name: name, Weight: 1000, Limit: platform.Resources{CPU: 1 << 30, MemoryMB: 1 << 30}})
		shares[name] = 1
	}
	e.startOwner("a")
	e.owners["a"].ApplyGrant(quota.Grant{Term: 1, Seq: 1, Shares: shares})
	time.Sleep(time.Second)
	for i := range 510 {
		account := ""
		if accounts > 0 {
			account = fmt.Sprintf("account-%d", i%accounts)
		}
		go e.submit("a", account, fmt.Sprintf("%016x", i), "8x4100/640ms 8x4100/640ms<0")
		time.Sleep(time.Second / 170)
	}
	time.Sleep(4 * time.Second)
}
