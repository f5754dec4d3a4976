// Package demo runs whole deployments in one process over loopback TCP: for each a
// simulated platform with backend servers, six entry daemons, callers of every class
// and an operator who edits the table. Meanwhile a maintenance wave takes every VM, one
// entry stops and one is replaced. Package checker counts violations.
package demo

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/gannetwell/gannetwell/pkg/bench/checker"
	"github.com/gannetwell/gannetwell/pkg/bench/cluster"
	"github.com/gannetwell/gannetwell/pkg/bench/load"
	"github.com/gannetwell/gannetwell/pkg/bench/standin"
)

// Options configures a demo.
type Options struct {
	Deployments []string      // table files
	Duration    time.Duration // of the load; extended until the wave is done
	Seed        uint64
	Scale       float64 // factor of the load
	Progress    io.Writer
	Log         zerolog.Logger
}

// DefaultOptions returns options for the two example deployments below root.
func DefaultOptions(root string) Options {
	return Options{
		Deployments: []string{
			filepath.Join(root, "_fixtures", "test-platform.jsonc"),
			filepath.Join(root, "_fixtures", "aula-pampa.jsonc"),
		},
		Duration: 20 * time.Second, Seed: 1, Scale: 1, Progress: io.Discard, Log: zerolog.Nop(),
	}
}

// Summary holds the sums and maxima over all deployments, and the report of each.
type Summary struct {
	checker.Report
	Deployments map[string]checker.Report `json:"deployments"`
	Details     []string                  `json:"details"`
}

const (
	entriesPerDeployment = 6
	startTimeout         = 20 * time.Second
	waveTimeout          = 90 * time.Second
	progressInterval     = 2 * time.Second
)

// Run runs the deployments concurrently.
func Run(ctx context.Context, o Options) (sum Summary, err error) {
	defer func() { err = errors.Wrap(err, "demo") }()
	sum.Deployments = map[string]checker.Report{}
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	for i, file := range o.Deployments {
		g.Go(func() error {
			so := standin.DefaultOptions()
			so.Seed = o.Seed + uint64(i)
			s, err := standin.Start(file, so)
			if err != nil {
				return err
			}
			defer s.Close()
			d := newDeployment(s, o, o.Seed+uint64(i))
			err = d.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			sum.Deployments[s.Name] = s.Checker.Report()
			sum.Details = append(sum.Details, s.Checker.Details()...)
			return errors.Wrap(err, s.Name)
		})
	}
	err = g.Wait()
	sum.Report = aggregate(sum.Deployments)
	return sum, err
}

// aggregate sums the counters and takes the maximum of each duration.
func aggregate(reports map[string]checker.Report) (t checker.Report) {
	t.WaveDone = len(reports) > 0
	for _, r := range reports {
		t.Requests += r.Requests
		t.Answered += r.Answered
		t.NotRun += r.NotRun
		t.WrongAnswers += r.WrongAnswers
		t.Truncated += r.Truncated
		t.OnceRequests += r.OnceRequests
		t.OnceRanTwice += r.OnceRanTwice
		t.NotRunButRan += r.NotRunButRan
		t.CutOff += r.CutOff
		t.BudgetViolations += r.BudgetViolations
		t.VMsInTwoPools += r.VMsInTwoPools
		t.ConfigReverts += r.ConfigReverts
		t.Edits += r.Edits
		t.Moves += r.Moves
		t.BufferVMs += r.BufferVMs
		t.WaveDone = t.WaveDone && r.WaveDone
		t.NewWorkAfterLeavingMs = max(t.NewWorkAfterLeavingMs, r.NewWorkAfterLeavingMs)
		t.ConfigInForceMs = max(t.ConfigInForceMs, r.ConfigInForceMs)
		t.WaveSeconds = max(t.WaveSeconds, r.WaveSeconds)
		t.P50Ms = max(t.P50Ms, r.P50Ms)
		t.P99Ms = max(t.P99Ms, r.P99Ms)
		t.P999Ms = max(t.P999Ms, r.P999Ms)
	}
	return t
}

// deployment is a running deployment.
type deployment struct {
	*standin.Standin
	o        Options
	seed     uint64
	balancer *load.Balancer
	entries  *cluster.Entries
	operator *operator
}

func newDeployment(s *standin.Standin, o Options, seed uint64) *deployment {
	b := load.NewBalancer()
	return &deployment{
		Standin: s, o: o, seed: seed, balancer: b,
		entries: cluster.New(s, b, cluster.WithLogger(o.Log)), operator: &operator{checker: s.Checker},
	}
}

func (d *deployment) logProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(d.o.Progress, "%-14s %s\n", d.Name, fmt.Sprintf(format, args...))
}

// run starts the entries and the load and runs the demo's steps.
func (d *deployment) run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	defer d.entries.CloseAll()
	background.Go(func() { d.balancer.Run(ctx) })
	for i := range entriesPerDeployment {
		if err := d.entries.Start(ctx, fmt.Sprintf("entry-%d", i+1), i); err != nil {
			return err
		}
	}
	d.operator.entries = d.entries
	if err := d.prepare(ctx); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	generator := load.NewGenerator(d.balancer, d.Checker, d.Name, d.seed)
	loadDone := make(chan struct{})
	background.Go(func() {
		defer close(loadDone)
		generator.Run(loadCtx, load.StreamsOf(d.Routes(), d.o.Scale))
	})
	background.Go(func() { d.reportProgress(loadCtx) })
	background.Go(func() { d.operator.editPeriodically(loadCtx) })
	err = d.runSteps(ctx)
	stopLoad()
	<-loadDone
	return err
}

// prepare applies the table and waits until the pools are full.
func (d *deployment) prepare(ctx context.Context) error {
	if err := d.waitFor(ctx, startTimeout, "entries to be ready", func() bool { return d.balancer.ReadyCount() == entriesPerDeployment }); err != nil {
		return err
	}
	if err := d.operator.apply(ctx, d.Table.Stored(), "the deployment's table"); err != nil {
		return err
	}
	want := 0
	for _, p := range d.Table.Pools {
		want += p.Value.Size
	}
	d.logProgress("table applied, %d VMs, %d routes; waiting for pools to fill", len(d.Table.VMs), len(d.Table.Routes))
	return d.waitFor(ctx, startTimeout, "pools to be full", func() bool {
		return d.Checker.Report().BufferVMs == len(d.Table.VMs)-want
	})
}

// waitFor polls f until it returns true; on a timeout the error names what it waited for.
func (d *deployment) waitFor(ctx context.Context, timeout time.Duration, what string, f func() bool) error {
	deadline := time.Now().Add(timeout)
	for !f() {
		if time.Now().After(deadline) {
			return errors.Errorf("timed out after %s waiting for %s", timeout, what)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// runSteps runs a wave, stops one entry and replaces another.
func (d *deployment) runSteps(ctx context.Context) error {
	end := time.Now().Add(d.o.Duration)
	const intervals = 5 // the wave starts after the first, the entries change after the second
	sleep(ctx, d.o.Duration/intervals)
	if err := d.operator.startWave(ctx, "demo-wave"); err != nil {
		return err
	}
	d.logProgress("starting a maintenance wave over all VMs")
	sleep(ctx, d.o.Duration/intervals)
	d.logProgress("stopping entry-6")
	if err := d.entries.Stop("entry-6"); err != nil {
		return err
	}
	d.logProgress("replacing entry-5")
	if err := d.entries.Start(ctx, "entry-5b", entriesPerDeployment); err != nil {
		return err
	}
	if err := d.entries.Stop("entry-5"); err != nil {
		return err
	}
	if err := d.waitFor(ctx, waveTimeout, "the wave to end", func() bool { return d.Checker.Report().WaveDone }); err != nil {
		return err
	}
	d.logProgress("wave done in %.1f s", d.Checker.Report().WaveSeconds)
	sleep(ctx, time.Until(end))
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// reportProgress periodically prints the counters.
func (d *deployment) reportProgress(ctx context.Context) {
	for {
		sleep(ctx, progressInterval)
		if ctx.Err() != nil {
			return
		}
		r := d.Checker.Report()
		d.logProgress("requests %d  answered %d  not-run %d  edits %d  p99 %.1f ms  harm %v", r.Requests, r.Answered, r.NotRun, r.Edits, r.P99Ms, r.HasViolations())
	}
}
