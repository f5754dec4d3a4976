package fleetops

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// waveCase is a course of waves over the same VMs.
type waveCase struct {
	waves   []Wave
	fault   fault         // of the first orders
	faultBy string        // the holder whose orders fail, empty for all
	until   time.Duration // when the fault ends
	second  time.Duration // when the second wave is asked for, and each later one after the same time again
	crash   time.Duration // when all VMs crash for 0.7 s, 0 for never
	lag     time.Duration // of the VM list
	handOn  []time.Duration
	planned bool // the holder hands on, rather than being killed
}

// run plays the course.
func (w *waveCase) run(c *qt.C) (m *maintainer) {
	s := &testFleet{rows: fake.NewRows(4*time.Millisecond, time.Second), need: map[string]int{"a": 6}, light: true}
	for _, vm := range []string{"v1", "v2", "v3", "v4", "v5", "v6"} {
		s.vms.list = append(s.vms.list, platform.Machine{VM: vm, Pool: "a", State: platform.MachineUp, Worker: vm})
	}
	m = newMaintainer(s, 2*time.Second)
	m.listLag = w.lag
	begun := time.Now()
	m.fault = func(h platform.Holder, _ string, _ int) fault {
		if time.Since(begun) < w.until && (w.faultBy == "" || w.faultBy == h.Name) {
			return w.fault
		}
		return faultNone
	}
	for _, wave := range w.waves {
		m.requests[wave.ID] = wave
	}
	for i, wave := range w.waves {
		time.AfterFunc(time.Duration(i)*w.second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.waves = append(slices.Clone(s.waves), wave)
		})
	}
	if w.crash > 0 {
		time.AfterFunc(w.crash, func() {
			for _, vm := range w.waves[0].VMs {
				m.crash(vm, 700*time.Millisecond)
			}
		})
	}
	r := s.open(c, "first", begun)
	for i, at := range w.handOn {
		time.Sleep(time.Until(begun.Add(at)))
		if w.planned {
			r.Release(context.Background(), "")
		} else {
			r.Close()
		}
		r = s.open(c, []string{"second", "third"}[i], begun)
	}
	time.Sleep(time.Until(begun.Add(60 * time.Second)))
	r.Close()
	return m
}

// TestWavesOverSameVMs guards against a wave that is reported as completed although a VM was down for
// another wave only: what a VM's state shows names no wave.
func TestWavesOverSameVMs(t *testing.T) {
	two := []Wave{
		{ID: 1, VMs: []string{"v1", "v2"}, Within: 40 * time.Second, MaxDown: 2},
		{ID: 2, VMs: []string{"v1", "v2"}, Within: 24 * time.Second, MaxDown: 2},
	}
	three := append(slices.Clone(two), Wave{ID: 3, VMs: []string{"v2", "v3"}, Within: 30 * time.Second, MaxDown: 1})
	cut := []time.Duration{3 * time.Second}
	for name, w := range map[string]waveCase{
		"calm":                           {waves: two},
		"refused, killed":                {waves: two, fault: faultRefused, until: 3 * time.Second, handOn: cut},
		"refused, planned":               {waves: two, fault: faultRefused, until: 3 * time.Second, handOn: cut, planned: true},
		"not sent, killed":               {waves: two, fault: faultLost, until: 3 * time.Second, handOn: cut},
		"not sent, planned":              {waves: two, fault: faultLost, until: 3 * time.Second, handOn: cut, planned: true},
		"carried out, killed":            {waves: two, fault: faultSilent, until: 3 * time.Second, handOn: cut},
		"killed twice":                   {waves: two, fault: faultLost, until: 8 * time.Second, handOn: []time.Duration{3 * time.Second, 8 * time.Second}},
		"killed in the maintenance":      {waves: two, handOn: []time.Duration{500 * time.Millisecond, 5500 * time.Millisecond}},
		"killed twice, one loses orders": {waves: three, fault: faultLost, faultBy: "first", until: time.Minute, handOn: []time.Duration{6 * time.Second, 12 * time.Second}},
		"three waves, refused":           {waves: three, fault: faultRefused, until: 5 * time.Second, handOn: cut},
		"crash, nobody killed":           {waves: two, fault: faultLost, until: 2500 * time.Millisecond, crash: 2200 * time.Millisecond},
		"crash, late list":               {waves: two, fault: faultLost, until: 2500 * time.Millisecond, crash: 2200 * time.Millisecond, lag: 1500 * time.Millisecond},
		"late list, killed":              {waves: two, fault: faultRefused, until: 3 * time.Second, handOn: cut, lag: 1500 * time.Millisecond},
	} {
		for _, second := range []time.Duration{0, time.Second, 2 * time.Second} {
			w := w
			w.second = second
			t.Run(name+", second after "+second.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					m := w.run(c)
					c.Check(m.broken, qt.HasLen, 0)
					for _, wave := range w.waves {
						c.Check(m.state(wave.ID).completed, qt.IsTrue, qt.Commentf("wave %d is not completed", wave.ID))
						c.Check(m.startedBy(wave.ID), qt.DeepEquals, wave.VMs)
					}
				})
			})
		}
	}
}
