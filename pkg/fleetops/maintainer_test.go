package fleetops

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// maintainer is a VM service that carries out maintenance: a VM is down for it, comes back with another
// worker, and the list shows both late.
type maintainer struct {
	platform.Machines
	takes   time.Duration                                      // how long maintenance takes
	listLag time.Duration                                      // how late the list shows a VM
	fault   func(h platform.Holder, vm string, wave int) fault // of each order; nil for none

	mu        sync.Mutex
	vms       *vmService
	started   map[orderKey]time.Time // when the maintenance of a VM for a wave began
	refused   int                    // orders of VMs that are not up
	repeated  int                    // orders that were carried out before
	notOfWave int                    // orders of VMs that their wave does not name
	mostDown  map[int]int            // by wave: the most VMs that were down for it at once
	downFor   map[string]int         // by VM: the wave
	past      []snapshot             // of the list
	requests  map[int]Wave           // as the operator's rows ask; a wave without one is not checked
	changed   map[int]time.Time      // when the operator last wrote them
	reports   []waveReport           // that the table service has accepted
	broken    []string               // reports of completion that are not true
}

const (
	// reportTransit is more than the time until the stand-in hears that the table service has accepted a report.
	reportTransit = 10 * time.Millisecond
	// editTransit is the time after which an edited limit holds: feedLag, and an order that is under way.
	editTransit = time.Second
)

// waveReport is what the operator is told of a wave.
type waveReport struct {
	wave      int
	completed bool
	at        time.Time
}

// watchedRows tells the stand-in of the reports that the table service accepts.
type watchedRows struct {
	platform.Rows
	m *maintainer
}

// CommitRows implements platform.Rows.
func (w watchedRows) CommitRows(ctx context.Context, txn platform.RowTxn) (version int64, err error) {
	version, err = w.Rows.CommitRows(ctx, txn)
	for _, row := range txn.Put {
		if err == nil && row.Table == "status" {
			id, _ := strconv.Atoi(row.Key)
			w.m.reported(id, string(row.Value) == "true")
		}
	}
	return version, err
}

// reported checks a report: all VMs of a completed wave have begun their maintenance.
func (m *maintainer) reported(id int, completed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports = append(m.reports, waveReport{id, completed, time.Now()})
	if time.Since(m.changed[id]) < reportTransit {
		return // written after the report was
	}
	for _, vm := range m.requests[id].VMs {
		if completed && m.started[orderKey{vm, id}].IsZero() {
			m.broken = append(m.broken, fmt.Sprintf("wave %d is reported as completed, and %s has not begun its maintenance", id, vm))
		}
	}
}

// state returns what the operator was last told of a wave.
func (m *maintainer) state(id int) (last waveReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.reports {
		if r.wave == id {
			last = r
		}
	}
	return last
}

type snapshot struct {
	at   time.Time
	list []platform.Machine
}

// fault is what goes wrong with an order.
type fault string

const (
	faultNone    fault = ""
	faultRefused fault = "refused" // it is not carried out, and answered so
	faultLost    fault = "lost"    // it is not carried out, without an answer
	faultSilent  fault = "silent"  // it is carried out, without an answer
)

// newMaintainer has a fleet use a service whose maintenance takes some time.
func newMaintainer(s *testFleet, takes time.Duration) *maintainer {
	m := &maintainer{
		takes: takes, vms: &s.vms, started: map[orderKey]time.Time{}, mostDown: map[int]int{}, downFor: map[string]int{}, requests: map[int]Wave{}, changed: map[int]time.Time{},
	}
	s.maintenance = takes
	s.rowsOf = func(_ string, rows platform.Rows) platform.Rows { return watchedRows{rows, m} }
	s.vmsOf = func(_ string, vms platform.Machines) platform.Machines {
		m.Machines = vms
		return m
	}
	return m
}

// MaintainMachine implements platform.Machines.
func (m *maintainer) MaintainMachine(ctx context.Context, vm string, wave int, h platform.Holder) error {
	kind := faultNone
	if m.fault != nil {
		kind = m.fault(h, vm, wave)
	}
	if kind == faultRefused {
		return platform.ErrNotDone{Op: "maintain machine"}
	}
	if kind != faultLost {
		if err := m.carryOut(ctx, vm, wave, h); err != nil {
			return err
		}
	}
	if kind != faultNone {
		return platform.ErrUnknown{Op: "maintain machine", Cause: "no answer"}
	}
	return nil
}

func (m *maintainer) carryOut(ctx context.Context, vm string, wave int, h platform.Holder) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	q, ok := m.requests[wave]
	if ok && !slices.Contains(q.VMs, vm) {
		m.notOfWave++
		return platform.ErrRefused{Op: "maintain machine", Reason: "wave"}
	}
	if !m.started[orderKey{vm, wave}].IsZero() {
		m.repeated++
		return nil // done before
	}
	if !m.set(vm, platform.MachineUp, platform.MachineMaintenance, "") {
		m.refused++
		return platform.ErrRefused{Op: "maintain machine", Reason: "busy"}
	}
	m.started[orderKey{vm, wave}] = time.Now()
	m.downFor[vm] = wave
	down := 0
	for _, w := range m.downFor {
		if w == wave {
			down++
		}
	}
	m.mostDown[wave] = max(m.mostDown[wave], down)
	if ok && down > q.MaxDown && time.Since(m.changed[wave]) > editTransit {
		m.broken = append(m.broken, fmt.Sprintf("%s begins its maintenance while %d VMs of wave %d are down", vm, down-1, wave))
	}
	time.AfterFunc(m.takes, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.downFor, vm)
		m.set(vm, platform.MachineMaintenance, platform.MachineUp, "+")
	})
	return m.Machines.MaintainMachine(ctx, vm, wave, h)
}

// set changes the state of a VM that is in another, and appends to the ID of its worker.
func (m *maintainer) set(vm string, from, to platform.MachineState, id string) bool {
	m.vms.mu.Lock()
	defer m.vms.mu.Unlock()
	at := slices.IndexFunc(m.vms.list, func(l platform.Machine) bool { return l.VM == vm })
	if m.vms.list[at].State != from {
		return false
	}
	m.past = append(m.past, snapshot{time.Now(), slices.Clone(m.vms.list)})
	m.vms.list[at].State = to
	m.vms.list[at].Worker += id
	return true
}

// crash has a VM come back with another worker after some time.
func (m *maintainer) crash(vm string, down time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.set(vm, platform.MachineUp, platform.MachineDown, "") {
		time.AfterFunc(down, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.set(vm, platform.MachineDown, platform.MachineUp, "c")
		})
	}
}

// ListMachines implements platform.Machines.
func (m *maintainer) ListMachines(ctx context.Context) ([]platform.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.past { // the list as it was then, before the first change since
		if s.at.After(time.Now().Add(-m.listLag)) {
			return slices.Clone(s.list), nil
		}
	}
	return m.Machines.ListMachines(ctx)
}

// startedBy returns the VMs whose maintenance for a wave has begun.
func (m *maintainer) startedBy(wave int) (vms []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.started {
		if key.wave == wave {
			vms = append(vms, key.vm)
		}
	}
	slices.Sort(vms)
	return vms
}
