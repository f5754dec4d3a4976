package fleetops

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// waveModel plays a wave step by step: draining VMs lose their limited tasks as far as the limits
// allow, and are then maintained.
type waveModel struct {
	wave  Wave
	vms   []*VM
	view  View
	steps []*modelStep
	until map[string]time.Duration // by VM: when its maintenance ends
}

// modelStep is a step with a limit; its moved tasks serve again after a restart.
type modelStep struct {
	limit   int
	on      []string        // VMs of its tasks that serve on the wave's VMs
	missing []time.Duration // when the others that are missing serve again
}

const (
	modelTick        = 250 * time.Millisecond
	modelRestart     = 1600 * time.Millisecond
	modelMaintenance = 2 * time.Second
)

func newWaveModel(vms, maxDown int, within time.Duration) *waveModel {
	m := &waveModel{until: map[string]time.Duration{}, wave: Wave{ID: 1, MaxDown: maxDown, Within: within}}
	m.view.Machines = map[string]platform.Machine{}
	for i := range vms {
		name := fmt.Sprintf("v%02d", i)
		m.wave.VMs = append(m.wave.VMs, name)
		m.vms = append(m.vms, &VM{Name: name, Phase: PhaseWaiting})
		m.view.Machines[name] = platform.Machine{VM: name, Pool: "a", State: platform.MachineUp}
		m.view.Machines["x"+name] = platform.Machine{VM: "x" + name, Pool: "a", State: platform.MachineUp}
		m.view.Machines["y"+name] = platform.Machine{VM: "y" + name, Pool: "a", State: platform.MachineUp}
	}
	return m
}

// run plays the wave until all VMs are done or the given time; it returns when it stopped.
func (m *waveModel) run(until time.Duration) (now time.Duration) {
	for ; now < until; now += modelTick {
		m.tick(now)
		if !slices.ContainsFunc(m.vms, func(v *VM) bool { return v.Phase != PhaseDone }) {
			return now
		}
	}
	return now
}

func (m *waveModel) tick(now time.Duration) {
	m.view.Elapsed, m.view.Limited = now, nil
	for i, s := range m.steps {
		s.missing = slices.DeleteFunc(s.missing, func(at time.Duration) bool { return now >= at })
		m.view.Limited = append(m.view.Limited, shard.LimitedStep{Step: fmt.Sprint(i), Places: s.limit, Missing: len(s.missing), Restart: modelRestart, VMs: s.on})
	}
	for _, v := range m.vms {
		if v.Phase == PhaseOrdered && now >= m.until[v.Name] {
			v.Phase = PhaseDone
		}
	}
	next, _ := SelectVMs(m.wave, m.vms, m.view)
	for _, v := range next {
		v.Phase = PhaseDraining
	}
	for _, v := range m.vms {
		if v.Phase != PhaseDraining {
			continue
		}
		m.drain(v, now)
		if !m.busy(v) && countDown(m.vms, m.view) < m.wave.MaxDown {
			v.Phase, m.until[v.Name] = PhaseOrdered, now+modelMaintenance
		}
	}
}

// drain moves the tasks of a VM as far as the limits allow.
func (m *waveModel) drain(v *VM, now time.Duration) {
	for _, s := range m.steps {
		for len(s.missing) < s.limit && slices.Contains(s.on, v.Name) {
			at := slices.Index(s.on, v.Name)
			s.on = slices.Delete(slices.Clone(s.on), at, at+1)
			s.missing = append(s.missing, now+modelRestart)
		}
	}
}

// busy reports whether a VM has limited tasks.
func (m *waveModel) busy(v *VM) bool {
	return slices.ContainsFunc(m.steps, func(s *modelStep) bool { return slices.Contains(s.on, v.Name) })
}

// down returns how many VMs are being maintained.
func (m *waveModel) down() (n int) {
	for _, v := range m.vms {
		if v.Phase == PhaseOrdered {
			n++
		}
	}
	return n
}

// A step of 24 tasks on as many VMs, of which 2 may be missing, fills the time of the wave: its VMs
// begin at once, although half of the time is left and others wait.
func TestScarceStepInTime(t *testing.T) {
	c := qt.New(t)
	m := newWaveModel(40, 40, 26*time.Second)
	m.steps = []*modelStep{{limit: 2, on: slices.Clone(m.wave.VMs[10:34])}}
	c.Check(m.run(time.Minute) <= m.wave.Within, qt.IsTrue)
}

// Places that a lost rack takes delay a wave by no more than the time for which they are taken.
func TestScarceStepAfterRackLoss(t *testing.T) {
	c := qt.New(t)
	const lost = 5 * time.Second
	m := newWaveModel(40, 40, 26*time.Second)
	m.steps = []*modelStep{{limit: 2, on: slices.Clone(m.wave.VMs[:22]), missing: []time.Duration{lost, lost}}}
	c.Check(m.run(time.Minute) <= m.wave.Within, qt.IsTrue)
}

// VMs whose tasks wait for places leave the places of the wave to others.
func TestWaitingTasksHoldNoPlace(t *testing.T) {
	c := qt.New(t)
	m := newWaveModel(12, 2, 30*time.Second)
	m.steps = []*modelStep{{limit: 2, on: slices.Clone(m.wave.VMs[:4]), missing: []time.Duration{time.Hour, time.Hour}}}
	m.run(m.wave.Within)
	for _, v := range m.vms[4:] {
		c.Check(v.Phase, qt.Equals, PhaseDone, qt.Commentf(v.Name))
	}
}

// Neither the VMs of a wave that are down nor the missing tasks of a step exceed their limits, and no
// place of a scarce step stays unused while one of its VMs waits.
func TestWaveLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newWaveModel(rapid.IntRange(1, 40).Draw(t, "vms"), rapid.IntRange(1, 12).Draw(t, "max down"), time.Duration(rapid.IntRange(1, 60).Draw(t, "within"))*time.Second)
		for range rapid.IntRange(0, 4).Draw(t, "steps") {
			on := rapid.SliceOfN(rapid.SampledFrom(m.wave.VMs), 0, 24).Draw(t, "tasks")
			m.steps = append(m.steps, &modelStep{limit: rapid.IntRange(0, 3).Draw(t, "limit"), on: on})
		}
		loss := time.Duration(rapid.IntRange(0, 20).Draw(t, "loss")) * time.Second
		for now := time.Duration(0); now < 40*time.Second; now += modelTick {
			if now == loss {
				for _, s := range m.steps {
					s.missing = append(s.missing, now+5*time.Second)
				}
			}
			before := map[*modelStep]int{}
			for _, s := range m.steps {
				before[s] = len(s.missing)
			}
			m.tick(now)
			if m.down() > m.wave.MaxDown {
				t.Fatalf("%d VMs down, at most %d may be", m.down(), m.wave.MaxDown)
			}
			for _, s := range m.steps {
				if len(s.missing) > max(s.limit, before[s]) {
					t.Fatalf("%d tasks are missing, at most %d may be", len(s.missing), s.limit)
				}
				if now >= m.wave.Within/2 && len(s.missing) < s.limit && len(s.on) > 0 {
					t.Fatalf("after %s a place is unused: %d of %d taken, tasks on %v", now, len(s.missing), s.limit, s.on)
				}
			}
		}
	})
}

// The plan tells what limits a wave, and that it can't end in time.
func TestPlanWave(t *testing.T) {
	c := qt.New(t)
	for name, tt := range map[string]struct {
		maxDown int
		steps   []*modelStep
		limit   Bottleneck
		atRisk  bool
	}{
		"one VM after the other":            {maxDown: 1, limit: BottleneckMaxDown, atRisk: true},
		"no VM may be down":                 {maxDown: 0, limit: BottleneckMaxDown, atRisk: true},
		"all at once":                       {maxDown: 20, limit: BottleneckPool},
		"a step whose tasks may not miss":   {maxDown: 20, steps: []*modelStep{{limit: 0, on: []string{"v00"}}}, limit: BottleneckStep, atRisk: true},
		"a step of many tasks, 2 at a time": {maxDown: 20, steps: []*modelStep{{limit: 2, on: slices.Repeat([]string{"v00", "v01"}, 12)}}, limit: BottleneckStep},
	} {
		m := newWaveModel(20, tt.maxDown, 28*time.Second)
		m.steps = tt.steps
		m.view.Limited = nil
		for i, s := range m.steps {
			m.view.Limited = append(m.view.Limited, shard.LimitedStep{Step: fmt.Sprint(i), Places: s.limit, Restart: modelRestart, VMs: s.on})
		}
		p := PlanWave(m.wave, m.vms, m.view)
		c.Check(p.Limit, qt.Equals, tt.limit, qt.Commentf(name))
		c.Check(p.atRisk(m.wave, 0), qt.Equals, tt.atRisk, qt.Commentf("%s: %s", name, p.Needs))
	}
}

// A VM that another wave drains or maintains is not drained for this one.
func TestTwoWavesOverOneVM(t *testing.T) {
	m := newWaveModel(3, 3, 10*time.Second)
	m.view.Elapsed, m.view.InOtherWave = 8*time.Second, map[string]bool{"v01": true}
	var names []string
	next, _ := SelectVMs(m.wave, m.vms, m.view)
	for _, v := range next {
		names = append(names, v.Name)
	}
	qt.Check(t, names, qt.DeepEquals, []string{"v00", "v02"})
}
