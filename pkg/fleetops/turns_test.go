package fleetops

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// The fleet and the jobs that a turns plays: a job has eight tasks of 3 cores.
const (
	turnVMs       = 40
	turnFloor     = 3 // VMs of each pool at first
	turnTask      = 640 * time.Millisecond
	turnObjective = 600*time.Millisecond + 1600*time.Millisecond*640/1000
	turnTick      = 50 * time.Millisecond
	turnJoin      = 1700 * time.Millisecond // from the order of a move until the VM runs tasks
	turnWindow    = 800 * time.Millisecond  // over which arriving work is averaged
)

var (
	turnCapacity = platform.Resources{CPU: 32000, MemoryMB: 1 << 20}
	turnStep     = jobs.Step{Count: 8, Needs: platform.Resources{CPU: 3000, MemoryMB: 1}, Estimate: turnTask}
)

// stream is a stream of jobs to a pool.
type stream struct {
	pool      string
	from, to  time.Duration
	perSecond float64
	excess    float64 // fraction of the jobs that exceed the guaranteed rate of their account
}

// turnVM is a VM with the ends of the attempts that run there.
type turnVM struct {
	name, pool string
	joinsAt    time.Duration
	move       *Move // being drained for
	plannedAt  time.Duration
	running    map[*jobs.Attempt]time.Duration // by attempt, when it ends
}

// served counts jobs.
type served struct{ sent, inTime, done int }

func (s served) inTimeFraction() float64 { return float64(s.inTime) / float64(max(1, s.sent)) }

// turns plays streams of jobs to the pools a and b with the planner's moves.
type turns struct {
	plan    func(pools []*PoolState) []Move
	now     time.Duration
	vms     []*turnVM
	pools   map[string]*jobs.Registry
	arrived map[string][]*jobs.Job
	surplus map[string]int
	moves   int
	// by stream and, of jobs submitted from settled on, whether they exceed their account's rate
	settled time.Duration
	got     map[int]map[bool]*served
	stream  map[string]int // by job ID
}

func newTurns(plan func([]*PoolState) []Move, settled time.Duration) *turns {
	tu := &turns{
		plan: plan, settled: settled, pools: map[string]*jobs.Registry{"a": jobs.NewRegistry(1), "b": jobs.NewRegistry(1)},
		arrived: map[string][]*jobs.Job{}, surplus: map[string]int{}, got: map[int]map[bool]*served{}, stream: map[string]int{},
	}
	for i := range turnVMs {
		pool := "off"
		if i < 2*turnFloor {
			pool = string("ab"[i%2])
		}
		tu.vms = append(tu.vms, &turnVM{name: fmt.Sprintf("v%02d", i), pool: pool, running: map[*jobs.Attempt]time.Duration{}})
	}
	return tu
}

// play runs the streams and then waits until all jobs are done, at most for a minute.
func (tu *turns) play(streams []stream) {
	rnd := rand.New(rand.NewPCG(5, 5))
	last := time.Duration(0)
	for _, s := range streams {
		last = max(last, s.to)
	}
	for ; tu.now < last+time.Minute && (tu.now < last || len(tu.pools["a"].Active())+len(tu.pools["b"].Active()) > 0); tu.now += turnTick {
		for i, s := range streams {
			if tu.now < s.from || tu.now >= s.to {
				continue
			}
			for range int(s.perSecond*turnTick.Seconds() + rnd.Float64()) {
				tu.submit(i, s.pool, rnd.Float64() < s.excess)
			}
		}
		tu.endTasks()
		for _, pool := range []string{"a", "b"} {
			tu.place(pool)
		}
		if tu.now%stepInterval < turnTick {
			tu.step()
		}
	}
}

func (tu *turns) submit(stream int, pool string, excess bool) {
	id := fmt.Sprintf("%016x", len(tu.stream)+1)
	tu.stream[id] = stream
	tu.pools[pool].Add(id, jobs.Record{Excess: excess, MaxAttempts: 1, Spec: jobs.Spec{Steps: []jobs.Step{turnStep}}}, tu.now)
	j := tu.pools[pool].Job(id)
	tu.arrived[pool] = append(tu.arrived[pool], j)
	if s := tu.servedOf(j); s != nil {
		s.sent++
	}
}

// servedOf returns the counts for a job, nil for one submitted earlier than settled.
func (tu *turns) servedOf(j *jobs.Job) *served {
	if j.AddedAt < tu.settled {
		return nil
	}
	byExcess := tu.got[tu.stream[j.ID]]
	if byExcess == nil {
		byExcess = map[bool]*served{false: {}, true: {}}
		tu.got[tu.stream[j.ID]] = byExcess
	}
	return byExcess[j.Excess]
}

func (tu *turns) endTasks() {
	for _, vm := range tu.vms {
		for a, at := range vm.running {
			if at > tu.now {
				continue
			}
			delete(vm.running, a)
			j := a.Task.Step.Job
			tu.pools[vm.pool].EndAttempt(a.Task, a, a.Number, platform.EndDone, "")
			if s := tu.servedOf(j); s != nil && j.State.Final() {
				s.done++
				if tu.now-j.AddedAt <= turnObjective {
					s.inTime++
				}
			}
		}
	}
}

// candidates returns the steps of a pool's jobs, running ones too.
func (tu *turns) candidates(pool string) (cs []placement.Candidate) {
	for _, j := range tu.pools[pool].Active() {
		c := placement.Candidate{
			Step: j.Steps[0], Deadline: j.AddedAt + turnObjective, Expiry: j.AddedAt + 3*turnObjective, RemainingPath: turnTask, Excess: j.Excess,
		}
		for _, t := range c.Step.Tasks {
			if t.Idle() {
				c.Tasks = append(c.Tasks, t)
			}
		}
		if len(c.Tasks) == 0 {
			c.RemainingPath = 0
		}
		cs = append(cs, c)
	}
	return cs
}

func (tu *turns) place(pool string) {
	var hosts []*placement.Host
	byName := map[string]*turnVM{}
	for _, vm := range tu.vms {
		if vm.pool == pool && vm.move == nil && tu.now >= vm.joinsAt {
			free := turnCapacity
			free.CPU -= len(vm.running) * turnStep.Needs.CPU
			hosts = append(hosts, &placement.Host{Boot: vm.name, Capacity: turnCapacity, Free: free})
			byName[vm.name] = vm
		}
	}
	cs := tu.candidates(pool)
	placement.Sort(cs, tu.now)
	for _, st := range placement.Plan(cs, hosts, 1<<20) {
		a := tu.pools[pool].StartAttempt(st.Task, st.Host.Boot, tu.now)
		byName[st.Host.Boot].running[a] = tu.now + turnTask
	}
}

// step drains VMs, orders moves and plans new ones.
func (tu *turns) step() {
	for _, vm := range tu.vms {
		switch {
		case vm.move == nil:
		case len(vm.running) == 0:
			vm.pool, vm.joinsAt, vm.move = vm.move.To, tu.now+turnJoin, nil
			tu.moves++
		case tu.now-vm.plannedAt > drainTimeout:
			vm.move = nil
		}
	}
	moves := tu.plan([]*PoolState{tu.state("a"), tu.state("b"), tu.state("off")})
	for i := range moves {
		at := slices.IndexFunc(tu.vms, func(vm *turnVM) bool { return vm.name == moves[i].VM })
		tu.vms[at].move, tu.vms[at].plannedAt = &moves[i], tu.now
	}
}

// state returns the input of the planner, as the owner of a pool's shard and the runner do.
func (tu *turns) state(pool string) *PoolState {
	s := &PoolState{Name: pool, Spare: pool == "off"}
	var ending []shard.EndingVM
	for _, vm := range tu.vms {
		switch {
		case vm.move != nil && vm.move.To == pool, vm.pool == pool && tu.now < vm.joinsAt:
			s.Supply++
		case vm.pool != pool || vm.move != nil:
		case s.Spare:
			s.Movable = append(s.Movable, vm.name)
		default:
			s.Supply++
			s.Load.Workers++
			ending = append(ending, shard.EndingVM{VM: vm.name, LeftMs: int(vm.left(tu.now).Milliseconds())})
		}
	}
	if s.Spare {
		return s
	}
	slices.SortStableFunc(ending, func(a, b shard.EndingVM) int { return cmp.Compare(a.LeftMs, b.LeftMs) })
	for _, v := range ending {
		if v.LeftMs == 0 {
			s.Movable = append(s.Movable, v.VM)
		} else {
			s.Ending = append(s.Ending, v.VM)
		}
	}
	tu.addLoad(pool, &s.Load)
	tu.surplus[pool]++
	if s.Supply <= DefaultSizing.TargetSize(s.Load) {
		tu.surplus[pool] = 0
	}
	s.SurplusSteps = tu.surplus[pool]
	return s
}

// left returns how long the VM's tasks still run.
func (vm *turnVM) left(now time.Duration) (longest time.Duration) {
	for _, at := range vm.running {
		longest = max(longest, at-now)
	}
	return longest
}

func (tu *turns) addLoad(pool string, l *shard.Load) {
	l.Floor, l.VMCapacity = 2, turnCapacity
	cores := func(tasks float64) platform.Resources {
		return platform.Resources{CPU: int(tasks * float64(turnStep.Needs.CPU))}
	}
	for _, c := range tu.candidates(pool) {
		held, waiting := 0, len(c.Tasks)
		for _, t := range c.Step.Tasks {
			held += len(t.Attempts)
		}
		l.Used, l.Waiting = l.Used.Add(cores(float64(held))), l.Waiting.Add(cores(float64(waiting)))
		switch all := cores(float64(held + waiting)); {
		case c.Late(tu.now):
			l.Held.Late = l.Held.Late.Add(all)
		case c.Excess:
			l.Held.Excess = l.Held.Excess.Add(all)
		default:
			l.Held.Guaranteed = l.Held.Guaranteed.Add(all)
		}
	}
	for _, j := range tu.arrived[pool] {
		if tu.now-j.AddedAt > turnWindow {
			continue
		}
		work := cores(float64(turnStep.Count) * turnTask.Seconds() / turnWindow.Seconds())
		l.Arriving = l.Arriving.Add(work)
		if j.Excess {
			l.ArrivingExcess = l.ArrivingExcess.Add(work)
		}
	}
}

// byShares plans moves as the runner does.
func byShares(pools []*PoolState) []Move {
	DefaultSizing.SetShares(pools)
	return DefaultSizing.PlanMoves(pools)
}

// byTargets plans moves without shares: a pool keeps VMs up to its target, and only idle VMs leave.
func byTargets(pools []*PoolState) []Move {
	DefaultSizing.SetShares(pools)
	for _, s := range pools {
		s.Share, s.Ending = s.Need.Target, nil
	}
	return DefaultSizing.PlanMoves(pools)
}

// fullRate is about the rate of jobs, per second, that all VMs can serve.
const fullRate = turnVMs * 10 / 8 / 0.64

// A turn begins while the pool whose turn is over is full of late work, since an account sent far more
// than its share. Callers of the new turn are served once its VMs are there, and the late work is done
// in the end.
func TestTurnAfterOverload(t *testing.T) {
	c := qt.New(t)
	streams := []stream{
		{pool: "a", to: 6 * time.Second, perSecond: 0.4 * fullRate},
		{pool: "a", to: 6 * time.Second, perSecond: 2 * fullRate, excess: 0.95},
		{pool: "b", from: 5 * time.Second, to: 11 * time.Second, perSecond: 0.6 * fullRate},
	}
	settled := streams[2].from + 2500*time.Millisecond
	tu := newTurns(byShares, settled)
	tu.play(streams)
	before := newTurns(byTargets, settled)
	before.play(streams)
	got := *tu.got[2][false]
	t.Logf("callers of the new turn in time: %.2f, by targets alone %.2f; %d and %d moves", got.inTimeFraction(), before.got[2][false].inTimeFraction(), tu.moves, before.moves)
	c.Check(got.inTimeFraction() >= 0.8, qt.IsTrue)
	c.Check(got.done, qt.Equals, got.sent)
	c.Check(len(tu.pools["a"].Active()), qt.Equals, 0)
}

// An account that sends far more than its share to one pool does not take VMs from callers within their
// shares in either pool.
func TestExcessInOtherPool(t *testing.T) {
	c := qt.New(t)
	streams := []stream{
		{pool: "a", to: 10 * time.Second, perSecond: 0.3 * fullRate},
		{pool: "a", to: 10 * time.Second, perSecond: 2 * fullRate, excess: 0.95},
		{pool: "b", from: 4 * time.Second, to: 10 * time.Second, perSecond: 0.4 * fullRate},
	}
	settled := streams[2].from + 2500*time.Millisecond
	tu := newTurns(byShares, settled)
	tu.play(streams)
	before := newTurns(byTargets, settled)
	before.play(streams)
	for _, i := range []int{0, 2} {
		got := *tu.got[i][false]
		t.Logf("pool %s, callers within their shares in time: %.2f, by targets alone %.2f", streams[i].pool, got.inTimeFraction(), before.got[i][false].inTimeFraction())
		c.Check(got.inTimeFraction() >= 0.8, qt.IsTrue)
	}
	c.Check(tu.got[1][true].done, qt.Equals, tu.got[1][true].sent)
	t.Logf("%d and %d moves", tu.moves, before.moves)
}

// Two pools whose demand exceeds the VMs alike don't exchange VMs all the time.
func TestSharesDoNotSwing(t *testing.T) {
	c := qt.New(t)
	tu := newTurns(byShares, 0)
	tu.play([]stream{
		{pool: "a", to: 10 * time.Second, perSecond: 0.9 * fullRate},
		{pool: "b", to: 10 * time.Second, perSecond: 0.9 * fullRate},
	})
	spare := turnVMs - 2*turnFloor
	c.Check(tu.moves <= 2*spare, qt.IsTrue, qt.Commentf("%d moves", tu.moves))
}
