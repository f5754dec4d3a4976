package fleetops

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// waveLogInterval is the least time between two log lines about the risk of a wave, or about what its VMs
// wait for.
const waveLogInterval = time.Second

// WaveStatus is the progress of an open wave. Entries exchange it encoded by field names.
type WaveStatus struct {
	ID       int
	Waiting  int // VMs in each phase
	Draining int
	Down     int
	Done     int
	Elapsed  time.Duration // since the request
	Within   time.Duration // time allowed
	Needs    time.Duration // least time until the last VM is done
	Limit    Bottleneck    // what Needs results from
	LimitOf  string        // name of the pool or step
	AtRisk   bool          // the wave can't end in time
}

// Blocked reports whether a limit of 0 keeps the wave from ending at all.
func (st *WaveStatus) Blocked() bool { return st.Needs == unreachable }

// waveStatus returns the progress of a wave.
func waveStatus(w Wave, vms []*VM, view View) WaveStatus {
	p := PlanWave(w, vms, view)
	st := WaveStatus{ID: w.ID, Elapsed: view.Elapsed, Within: w.Within, Needs: p.Needs, Limit: p.Limit, LimitOf: p.LimitOf}
	for _, v := range vms {
		switch v.Phase {
		case PhaseWaiting:
			st.Waiting++
		case PhaseDraining:
			st.Draining++
		case PhaseOrdered:
			st.Down++
		case PhaseDone, PhaseGone:
			st.Done++
		}
	}
	st.AtRisk = st.Done < len(vms) && p.atRisk(w, view.Elapsed)
	return st
}

// riskChanged reports whether an operator should be told of the risk of a wave anew.
func riskChanged(last, st WaveStatus) bool {
	if last.AtRisk != st.AtRisk {
		return true
	}
	return st.AtRisk && (last.Limit != st.Limit || last.LimitOf != st.LimitOf)
}

// reportWaves updates the status of open waves and logs those that come to be at risk.
func (r *Runner) reportWaves(waves []*wave, machines map[string]platform.Machine) {
	var all []WaveStatus
	for _, w := range waves {
		st := waveStatus(w.Wave, w.vms, r.newView(w, machines))
		r.logRisk(w, st)
		all = append(all, st)
	}
	r.mu.Lock()
	r.waveStatus = all
	r.mu.Unlock()
	r.cfg.OnWaves(all)
}

// logRisk logs when it becomes known that a wave can't end in time, and when that changes.
func (r *Runner) logRisk(w *wave, st WaveStatus) {
	now := r.now()
	if !riskChanged(w.loggedStatus, st) || w.riskLoggedAt > 0 && now-w.riskLoggedAt < waveLogInterval {
		return
	}
	w.loggedStatus, w.riskLoggedAt = st, now
	r.log.Warn().Str("event", "wave_at_risk").Int("wave", st.ID).Bool("at_risk", st.AtRisk).Str("limit", string(st.Limit)).Str("limit_of", st.LimitOf).
		Dur("elapsed", st.Elapsed).Dur("needs", st.Needs).Dur("within", st.Within).
		Int("waiting", st.Waiting).Int("draining", st.Draining).Int("down", st.Down).Int("done", st.Done).Send()
}

// WaveStatus returns the progress of the open waves, the next deadline first.
func (r *Runner) WaveStatus() []WaveStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waveStatus
}
