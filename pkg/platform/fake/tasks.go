package fake

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
)

// fakeTask is a task that was started on a worker.
type fakeTask struct {
	spec       platform.TaskSpec
	state      platform.TaskState
	leaseUntil time.Time
	cap        float64 // processors, 0 for no limit
	reason     string
}

// expireLease stops a task whose lease has expired.
func (t *fakeTask) expireLease(now time.Time) {
	if t.running() && now.After(t.leaseUntil) {
		t.state = platform.TaskStopped
		t.reason = "the lease expired"
	}
}

func (t *fakeTask) running() bool {
	return t.state == platform.TaskRunning || t.state == platform.TaskThrottled
}

// tasks holds the tasks of all workers.
type tasks struct {
	mu          sync.Mutex
	byID        map[string]*fakeTask
	lag         time.Duration
	lastReports map[string]lastReport // by VM
}

// lastReport is a worker's cached report.
type lastReport struct {
	at      time.Time
	reports []platform.TaskReport
}

func (t *tasks) init() {
	t.byID = map[string]*fakeTask{}
	t.lastReports = map[string]lastReport{}
}

// report returns a worker's cached report, or a new one if the cached one is older than the lag.
func (t *tasks) report(vm string) []platform.TaskReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if last, ok := t.lastReports[vm]; ok && now.Sub(last.at) < t.lag {
		return slices.Clone(last.reports)
	}
	var reports []platform.TaskReport
	for id, task := range t.byID {
		if task.spec.VM != vm {
			continue
		}
		task.expireLease(now)
		reports = append(reports, platform.TaskReport{
			ID: id, VM: vm, State: task.state, AsOfMs: now.UnixMilli(),
			Cpus: usedCpus(task), MemoryMB: task.spec.MemoryMB, Reason: task.reason,
		})
	}
	slices.SortFunc(reports, func(a, b platform.TaskReport) int { return strings.Compare(a.ID, b.ID) })
	t.lastReports[vm] = lastReport{at: now, reports: reports}
	return slices.Clone(reports)
}

// StartTask implements platform.Tasks.
func (v *view) StartTask(ctx context.Context, spec platform.TaskSpec) error {
	return v.call(ctx, rest.OpStartTask, func() error {
		t := &v.p.tasks
		t.mu.Lock()
		defer t.mu.Unlock()
		if _, ok := t.byID[spec.ID]; ok {
			return nil
		}
		t.byID[spec.ID] = &fakeTask{
			spec: spec, state: platform.TaskRunning,
			leaseUntil: time.Now().Add(time.Duration(spec.LeaseMs) * time.Millisecond),
		}
		return nil
	})
}

// withTask calls f for an existing task under the lock, as one call of the platform.
func (v *view) withTask(ctx context.Context, op rest.Operation, id string, f func(t *fakeTask) error) error {
	return v.call(ctx, op, func() error {
		ts := &v.p.tasks
		ts.mu.Lock()
		defer ts.mu.Unlock()
		t, ok := ts.byID[id]
		if !ok {
			return platform.ErrRefused{Op: string(op), Reason: "there is no task " + id}
		}
		t.expireLease(time.Now())
		return f(t)
	})
}

// RenewTask implements platform.Tasks.
func (v *view) RenewTask(ctx context.Context, id string, leaseMs int) error {
	return v.withTask(ctx, rest.OpRenewTask, id, func(t *fakeTask) error {
		if !t.running() {
			return platform.ErrRefused{Op: string(rest.OpRenewTask), Reason: "the task is " + string(t.state)}
		}
		t.leaseUntil = time.Now().Add(time.Duration(leaseMs) * time.Millisecond)
		return nil
	})
}

// CheckpointTask implements platform.Tasks.
func (v *view) CheckpointTask(ctx context.Context, id, object string) error {
	return v.withTask(ctx, rest.OpCheckpointTask, id, func(t *fakeTask) error {
		if !t.running() {
			return nil
		}
		o := &v.p.objects
		o.mu.Lock()
		o.data[object] = []byte(id)
		o.mu.Unlock()
		t.state = platform.TaskStopped
		t.reason = "checkpointed to " + object
		return nil
	})
}

// ThrottleTask implements platform.Tasks.
func (v *view) ThrottleTask(ctx context.Context, id string, cpus float64) error {
	return v.withTask(ctx, rest.OpThrottleTask, id, func(t *fakeTask) error {
		if !t.running() {
			return nil
		}
		t.cap = cpus
		t.state = platform.TaskRunning
		if cpus > 0 {
			t.state = platform.TaskThrottled
		}
		return nil
	})
}

// StopTask implements platform.Tasks.
func (v *view) StopTask(ctx context.Context, id string) error {
	return v.withTask(ctx, rest.OpStopTask, id, func(t *fakeTask) error {
		if t.running() {
			t.state = platform.TaskStopped
		}
		return nil
	})
}

// ReportTasks implements platform.Tasks.
func (v *view) ReportTasks(ctx context.Context, vm string) (reports []platform.TaskReport, err error) {
	err = v.call(ctx, rest.OpReportTasks, func() error {
		reports = v.p.tasks.report(vm)
		return nil
	})
	return reports, err
}

// usedCpus returns the processors that a task uses.
func usedCpus(t *fakeTask) float64 {
	switch {
	case !t.running():
		return 0
	case t.cap > 0:
		return min(t.cap, t.spec.Cpus)
	}
	return t.spec.Cpus
}
