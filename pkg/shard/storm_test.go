package shard_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// The storm workload: a busy pool of 30 workers with about twelve tasks each, where some jobs have a
// task that crashes each worker on which it starts.
const (
	stormWorkers     = 30
	stormJobs        = 600
	stormLongRunning = 8
	stormSubmitTime  = 15 * time.Second
	stormDuration    = 60 * time.Second // from the first job to the end
	stormInTime      = 3 * time.Second  // for jobs of 1.3 s of work
	stormPoll        = 10 * time.Millisecond
)

// stormResult is the outcome of a run.
type stormResult struct {
	inTime, late, open, wronglyFailed int             // jobs without a crashing task
	workersDown                       []int           // by crashing task
	detectedAfter                     []time.Duration // by job: from the submission of a crashing task to the job's end
	undetected                        int
	longRunning                       int // long-running tasks that run at the end
}

// runStorm runs the workload; replaced is when another entry takes over, 0 for never.
func runStorm(t fataler, seed uint64, crashers int, replaced time.Duration) (got stormResult) {
	rnd := rand.New(rand.NewPCG(seed, seed))
	e := newTestCluster(t)
	defer e.close()
	e.addWorkers(stormWorkers, "32000")
	e.startOwner("a")
	time.Sleep(time.Second)
	plan := planStorm(e, rnd, crashers)
	start := time.Now()
	open := map[string]stormJob{}
	owner := "a"
	for now := time.Duration(0); now < stormDuration; now = time.Since(start) {
		for len(plan) > 0 && plan[0].at <= now {
			s := plan[0]
			plan = plan[1:]
			open[s.id] = s
			go e.submit(owner, "", s.id, s.text)
		}
		time.Sleep(stormPoll)
		if replaced > 0 && now > replaced && owner == "a" {
			e.owners["a"].Close()
			e.setOwner("a", nil)
			owner = "b"
			e.startOwner("b")
		}
		for id, s := range open {
			state, _ := e.owners[owner].State(id, shard.Requester{Operator: true})
			if state.Final() {
				delete(open, id)
				got.ended(s, state, time.Since(start)-s.at)
			}
		}
	}
	synctest.Wait()
	for _, s := range open {
		switch s.kind {
		case crashing:
			got.undetected++
		case ordinary:
			got.open++
		}
	}
	got.workersDown = slices.Collect(maps.Values(e.observer.crashedBy))
	for i := range stormLongRunning {
		for k := range 5 {
			got.longRunning += len(e.observer.running[fmt.Sprintf("c%015x.0.0.%d", i, k)])
		}
	}
	if report := e.observer.invariants(); report != "kept\n" {
		t.Fatalf("violated: %s", report)
	}
	return got
}

// stormKind is the kind of a job.
type stormKind string

const (
	ordinary    stormKind = "ordinary"
	longRunning stormKind = "lasting"
	crashing    stormKind = "crashing"
)

type stormJob struct {
	at   time.Duration
	id   string
	text string
	kind stormKind
}

// planStorm returns the jobs in the order of their submission.
func planStorm(e *testCluster, rnd *rand.Rand, crashers int) (plan []stormJob) {
	for i := range stormJobs {
		at := time.Duration(i) * stormSubmitTime / stormJobs
		plan = append(plan, stormJob{at: at, id: fmt.Sprintf("a%015x", i), text: "6x2300/640ms 6x2300/640ms<0", kind: ordinary})
	}
	for i := range stormLongRunning {
		plan = append(plan, stormJob{at: time.Second, id: fmt.Sprintf("c%015x", i), text: "5x2300/0s+apart:2", kind: longRunning})
	}
	for i := range crashers {
		id := fmt.Sprintf("b%015x", i)
		e.crashing[id+".0.0.0"] = time.Duration(rnd.IntN(3)) * 5 * time.Millisecond
		at := time.Duration(rnd.Int64N(int64(stormSubmitTime / 3)))
		plan = append(plan, stormJob{at: at, id: id, text: "1x2300/640ms", kind: crashing})
	}
	slices.SortStableFunc(plan, func(a, b stormJob) int { return cmp.Compare(a.at, b.at) })
	return plan
}

// ended records the end of a job.
func (s *stormResult) ended(j stormJob, state jobs.State, took time.Duration) {
	switch {
	case j.kind == crashing:
		s.detectedAfter = append(s.detectedAfter, took)
	case state != jobs.StateCompleted:
		s.wronglyFailed++
	case took <= stormInTime:
		s.inTime++
	default:
		s.late++
	}
}

// lost returns how many workers crashed.
func (s *stormResult) lost() (sum int) {
	for _, n := range s.workersDown {
		sum += n
	}
	return sum
}

func (s *stormResult) String() string {
	slices.Sort(s.detectedAfter)
	median := time.Duration(0)
	if len(s.detectedAfter) > 0 {
		median = s.detectedAfter[len(s.detectedAfter)/2]
	}
	return fmt.Sprintf("in time %d, late %d, open %d, wrongly failed %d; workers lost %d, most by one task %d; detected %d of %d, half within %s; long-running tasks running %d",
		s.inTime, s.late, s.open, s.wronglyFailed, s.lost(), slices.Max(append(s.workersDown, 0)), len(s.detectedAfter), len(s.detectedAfter)+s.undetected, median.Round(100*time.Millisecond), s.longRunning)
}

// BenchmarkStorm reports, for each seed, the jobs in time, failed and not done, and the workers lost.
func BenchmarkStorm(b *testing.B) {
	for i := range b.N {
		synctest.Test(new(testing.T), func(*testing.T) {
			got := runStorm(b, uint64(i), 20, 0)
			b.ReportMetric(float64(got.inTime), "in-time")
			b.ReportMetric(float64(got.wronglyFailed), "wrongly-failed")
			b.ReportMetric(float64(got.open), "not-done")
			b.ReportMetric(float64(got.lost()), "workers-lost")
		})
	}
}

// TestStorm checks that with twenty or sixty crashing tasks among six hundred jobs no other job
// fails or stays open, and each crashing task is detected.
func TestStorm(t *testing.T) {
	for _, seed := range []uint64{0, 1, 4} { // few seeds, as each is slow with the race detector
		replaced, crashers := time.Duration(seed%2)*7*time.Second, 20
		if seed >= 4 {
			crashers = 60
		}
		t.Run(fmt.Sprintf("seed=%d,crashers=%d,replaced=%s", seed, crashers, replaced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := runStorm(t, seed, crashers, replaced)
				t.Log(&got)
				qt.Check(t, got.wronglyFailed, qt.Equals, 0)
				qt.Check(t, got.open, qt.Equals, 0)
				qt.Check(t, got.undetected, qt.Equals, 0)
				qt.Check(t, got.longRunning, qt.Equals, 5*stormLongRunning)
			})
		})
	}
}
