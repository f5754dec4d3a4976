// Package explain describes the state of a VM, pool, job or wave in sentences for
// operators: where it is, why, and what it waits for. It combines the table, a fresh
// observation of the VMs concerned and the audit trail. The operators' API calls it.
package explain

import (
	"context"
	"fmt"
	"time"

	"github.com/gannetwell/gannetwell/pkg/fleet"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Observer returns the current health and in-flight requests of a snapshot's VMs, by VM name.
type Observer interface {
	Observe(ctx context.Context, snap *table.Snapshot) map[string]fleet.Observation
}

// TableReader reads the current table and the entries of its log from a revision on.
type TableReader interface {
	Snapshot() *table.Snapshot
	History(ctx context.Context, from, limit int) ([]schema.Entry, error)
}

// Explainer describes table rows.
type Explainer struct {
	reader   TableReader
	observer Observer
	now      func() time.Time
}

// New returns an explainer of the reader's table.
func New(reader TableReader, o Observer) *Explainer {
	return &Explainer{reader: reader, observer: o, now: time.Now}
}

// Explain returns sentences about a row; ok is false when the row does not exist.
func (e *Explainer) Explain(ctx context.Context, kind schema.Kind, name string) (sentences []string, ok bool) {
	snap := e.reader.Snapshot()
	key := table.Key{Kind: kind, Name: name}
	if snap.Version(key) == 0 {
		return nil, false
	}
	x := &explanation{snap: snap, now: e.now()}
	switch kind {
	case schema.KindVM:
		x.vm(name, e.observe(ctx, snap, name)[name])
	case schema.KindPool:
		x.pool(name, e.observer.Observe(ctx, snap))
	case schema.KindJob:
		x.job(name)
	case schema.KindWave:
		x.wave(name)
	default:
		x.addf("%s is at version %d.", key, snap.Version(key))
	}
	x.lastChange(ctx, e.reader, key)
	return x.sentences, true
}

// observe observes one VM only.
func (e *Explainer) observe(ctx context.Context, snap *table.Snapshot, vm string) map[string]fleet.Observation {
	single := *snap
	single.VMs = table.Rows[schema.VM]{vm: snap.VMs[vm]}
	return e.observer.Observe(ctx, &single)
}

// explanation collects the sentences about one row.
type explanation struct {
	snap      *table.Snapshot
	now       time.Time
	sentences []string
}

func (x *explanation) addf(format string, args ...any) {
	x.sentences = append(x.sentences, fmt.Sprintf(format, args...))
}

// elapsed formats the time since ms, a Unix time in milliseconds.
func (x *explanation) elapsed(ms int) string {
	return x.now.Sub(time.UnixMilli(int64(ms))).Round(time.Second).String()
}

func (x *explanation) vm(name string, o fleet.Observation) {
	row := x.snap.VMs[name]
	vm := row.Value
	if vm.Pool == "" {
		x.addf("VM %s is in the shared buffer, in rack %s of zone %s.", name, vm.Rack, x.snap.ZoneOf(name))
	} else {
		x.addf("VM %s is in pool %s, which serves %s, in rack %s of zone %s.", name, vm.Pool, x.snap.Pools[vm.Pool].Value.Service, vm.Rack, x.snap.ZoneOf(name))
	}
	switch vm.Phase {
	case schema.PhaseActive:
		x.addf("It is active: entries give it work. Its health by probes is %q and this entry has %d requests in flight to it.", o.Health, o.InFlight)
	case schema.PhaseDraining:
		x.addf("It has been draining for %s%s.", x.elapsed(vm.PhaseSinceMs), waveSuffix(vm))
		if blocker := fleet.DrainBlocker(row.Version, o); blocker != "" {
			x.addf("It waits: %s.", blocker)
		} else {
			x.addf("Nothing is in flight any more; it is about to reboot.")
		}
	case schema.PhaseRebooting:
		x.addf("It has been rebooting for %s%s, by operation %s.", x.elapsed(vm.PhaseSinceMs), waveSuffix(vm), vm.Operation)
	case schema.PhaseChecking:
		x.addf("It came back from its reboot %s ago%s and waits for its backend server to answer probes.", x.elapsed(vm.PhaseSinceMs), waveSuffix(vm))
	case schema.PhaseDown:
		x.addf("It has been down for %s.", x.elapsed(vm.PhaseSinceMs))
	}
	if vm.MaintainedBy != "" {
		x.addf("It was last maintained by wave %s, %s ago.", vm.MaintainedBy, x.elapsed(vm.MaintainedAtMs))
	}
}

func waveSuffix(vm schema.VM) string {
	if vm.Wave == "" {
		return ""
	}
	return " in wave " + vm.Wave
}

func (x *explanation) pool(name string, observations map[string]fleet.Observation) {
	p := x.snap.Pools[name].Value
	members, unavailable := 0, 0
	for _, vmName := range x.snap.VMs.Names() {
		vm := x.snap.VMs[vmName].Value
		if vm.Pool != name {
			continue
		}
		members++
		if vm.Phase != schema.PhaseActive {
			unavailable++
			x.addf("%s is %s%s for %s.", vmName, vm.Phase, waveSuffix(vm), x.elapsed(vm.PhaseSinceMs))
		} else if observations[vmName].Health != fleet.HealthGood {
			unavailable++
			x.addf("%s is active but its health is %q.", vmName, observations[vmName].Health)
		}
	}
	x.addf("Pool %s serves %s with %d of %d VMs; %d are out of service and its budget is %d.", name, p.Service, members, p.Size, unavailable, p.MaxUnavailable)
	if members < p.Size {
		x.addf("It waits for %d free VMs; the buffer has none that are healthy.", p.Size-members)
	}
}

func (x *explanation) job(name string) {
	j := x.snap.Jobs[name].Value
	x.addf("Job %s of team %s wants %d tasks of %g processors and %d MB on pool %s, class %s.", name, j.Team, j.Count, j.Cpus, j.MemoryMb, j.Pool, j.Class)
	x.addf("It waits: this version keeps jobs in the table but does not start tasks yet.")
}

func (x *explanation) wave(name string) {
	w := x.snap.Waves[name].Value
	p := fleet.ProgressOf(x.snap, name)
	x.addf("Wave %s is %s: %d of %d VMs are maintained, %d are under way, %d are left, %d are down.", name, w.State, p.Done, p.Total, p.Current, p.Left(), p.Down)
	for _, vmName := range x.snap.VMs.Names() {
		vm := x.snap.VMs[vmName].Value
		if vm.Wave == name {
			x.addf("%s has been %s for %s.", vmName, vm.Phase, x.elapsed(vm.PhaseSinceMs))
		}
	}
}

// lastChange adds who changed the row last, and why.
func (x *explanation) lastChange(ctx context.Context, reader TableReader, key table.Key) {
	version := x.snap.Version(key)
	entries, err := reader.History(ctx, version, 1)
	if err != nil || len(entries) == 0 {
		x.addf("Its last change was revision %d; the audit trail cannot be read now.", version)
		return
	}
	e := entries[0]
	x.addf("Its last change was revision %d by %s, %s ago: %s.", e.Revision, e.Actor, x.elapsed(e.AtMs), e.Reason)
	if e.Evidence != "" {
		x.addf("The evidence was: %s.", e.Evidence)
	}
}
