package fleetops

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestMovesBesideWave has the demand of a pool jump at several moments of a wave while
// the table service takes 300 ms for each call. The pool's VMs are ordered within
// 1.02 s; when moves waited for what the wave orders and keeps, it took up to 1.42 s.
func TestMovesBesideWave(t *testing.T) {
	c := qt.New(t)
	var waits []time.Duration
	for offset := time.Duration(0); offset < 3*time.Second; offset += 170 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) { waits = append(waits, jumpInWave(c, offset)) })
	}
	t.Logf("ordered after %v", waits)
	c.Check(slices.Max(waits) <= 1200*time.Millisecond, qt.IsTrue, qt.Commentf("ordered after %v", waits))
}

// jumpInWave returns how long it takes until a pool has the VMs it needs, after its
// demand has risen some time into a wave.
func jumpInWave(c *qt.C, offset time.Duration) time.Duration {
	s := &site{rows: fake.NewRows(300*time.Millisecond, time.Second), need: map[string]int{"a": 1, "b": 1}}
	w := Wave{ID: 1, MaxDown: 12, Within: 40 * time.Second}
	for i := range 300 {
		vm := fmt.Sprintf("v%02d", i)
		s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "off", State: platform.MachineUp, Boot: vm})
		if i >= 20 {
			w.VMs = append(w.VMs, vm)
		}
	}
	r := s.open(c, "first", time.Now())
	defer r.Close()
	time.Sleep(8 * time.Second)
	s.mu.Lock()
	s.waves = []Wave{w}
	s.mu.Unlock()
	time.Sleep(4*time.Second + offset)
	return s.untilMoved(10)
}

// untilMoved lets the need of pool b rise and returns how long it takes until the pool has as many VMs.
func (s *site) untilMoved(need int) time.Duration {
	s.setNeed("b", need)
	began := time.Now()
	for time.Since(began) < 20*time.Second {
		in := 0
		list, _ := s.vms.ListMachines(context.Background())
		for _, m := range list {
			if m.Pool == "b" {
				in++
			}
		}
		if in >= need {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}
