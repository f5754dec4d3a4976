package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// workload fills a pool: accounts submit jobs of eight tasks, all at their guaranteed rate except for
// account 0, which sends more.
type workload struct {
	accounts int
	overload float64       // rate of account 0, as a multiple of its guaranteed rate
	hosts    int           // of 32 cores
	duration time.Duration // of the submissions
}

const (
	guaranteedPerAccount = 2.0 // jobs per second
	taskTime             = 640 * time.Millisecond
	objective            = 600*time.Millisecond + 1600*time.Millisecond*640/1000
	tick                 = 20 * time.Millisecond
)

// ordering sorts candidates; running is the number of running tasks of each account.
type ordering func(cs []Candidate, now time.Duration, running map[string]int)

func bySlack(cs []Candidate, now time.Duration, _ map[string]int) {
	for i := range cs {
		cs[i].Excess = false
	}
	Sort(cs, now)
}

func guaranteedFirst(cs []Candidate, now time.Duration, _ map[string]int) { Sort(cs, now) }

// byShare puts the account with the fewest running tasks first (max-min fairness).
func byShare(cs []Candidate, now time.Duration, running map[string]int) {
	bySlack(cs, now, nil)
	slices.SortStableFunc(cs, func(a, b Candidate) int {
		return running[a.Step.Job.Account] - running[b.Step.Job.Account]
	})
}

// result counts the jobs of an account.
type result struct{ sent, inTime, done int }

// simulate runs the workload through Sort and Plan and returns the result of each account.
func (l workload) simulate(o ordering) []result {
	rnd := rand.New(rand.NewPCG(7, 7))
	got := make([]result, l.accounts)
	registry := jobs.NewRegistry(1)
	var hosts []*Host
	for i := range l.hosts {
		c := platform.Resources{CPU: 32000}
		hosts = append(hosts, &Host{Boot: fmt.Sprintf("h%d", i), Capacity: c, Free: c})
	}
	type end struct {
		at   time.Duration
		a    *jobs.Attempt
		host *Host
	}
	var ends []end
	running := map[string]int{}
	number := 0
	for now := time.Duration(0); now < l.duration+20*time.Second; now += tick {
		for a := range l.accounts {
			rate := guaranteedPerAccount
			if a == 0 {
				rate *= l.overload
			}
			if now >= l.duration || rnd.Float64() > rate*tick.Seconds() {
				continue
			}
			number++
			// Jobs over the guaranteed rate are drawn at random.
			excess := a == 0 && rnd.Float64() > 1/l.overload
			registry.Add(fmt.Sprintf("%016x", number), jobs.Record{
				Account: fmt.Sprint(a), Excess: excess, MaxAttempts: 1,
				Spec: jobs.Spec{Steps: []jobs.Step{{Count: 8, Needs: platform.Resources{CPU: 3000}}}},
			}, now)
			got[a].sent++
		}
		ends = slices.DeleteFunc(ends, func(e end) bool {
			if e.at > now {
				return false
			}
			j := e.a.Task.Step.Job
			registry.EndAttempt(e.a.Task, e.a, e.a.Number, platform.EndDone, "")
			running[j.Account]--
			e.host.unplace(e.a.Task.Step)
			if j.State.Final() {
				var a int
				_, _ = fmt.Sscan(j.Account, &a)
				got[a].done++
				if now-j.AddedAt <= objective {
					got[a].inTime++
				}
			}
			return true
		})
		var cs []Candidate
		for _, j := range registry.Active() {
			s := j.Steps[0]
			c := Candidate{Step: s, Deadline: j.AddedAt + objective, Expiry: j.AddedAt + 3*objective, RemainingPath: taskTime, Excess: j.Excess && now-j.AddedAt < 10*time.Second}
			for _, t := range s.Tasks {
				if t.Idle() {
					c.Tasks = append(c.Tasks, t)
				}
			}
			if len(c.Tasks) > 0 {
				cs = append(cs, c)
			}
		}
		o(cs, now, running)
		for _, st := range Plan(cs, hosts, 1<<20) {
			ends = append(ends, end{at: now + taskTime, a: registry.StartAttempt(st.Task, st.Host.Boot, now), host: st.Host})
			running[st.Task.Step.Job.Account]++
		}
	}
	return got
}

// inTimeFraction returns the fraction of the jobs of accounts that were done in time.
func inTimeFraction(got []result) float64 {
	sent, good := 0, 0
	for _, p := range got {
		sent += p.sent
		good += p.inTime
	}
	return float64(good) / float64(sent)
}

// TestExcess checks that one account that submits five times its guaranteed rate to a full pool does
// not make the jobs of others late, and that all of its jobs are done in the end.
func TestExcess(t *testing.T) {
	c := qt.New(t)
	l := workload{accounts: 20, overload: 5, hosts: 21, duration: 30 * time.Second}
	alone := workload{accounts: 20, overload: 1, hosts: 21, duration: 30 * time.Second}.simulate(guaranteedFirst)
	for name, o := range map[string]ordering{"by slack": bySlack, "by share": byShare, "guaranteed first": guaranteedFirst} {
		got := l.simulate(o)
		t.Logf("%s: %.2f of the jobs of the other accounts in time (%.2f without excess), %.2f of those of account 0", name, inTimeFraction(got[1:]), inTimeFraction(alone[1:]), inTimeFraction(got[:1]))
	}
	got := l.simulate(guaranteedFirst)
	c.Check(inTimeFraction(alone[1:])-inTimeFraction(got[1:]) <= 0.03, qt.IsTrue)
	for i, p := range got {
		c.Check(p.done, qt.Equals, p.sent, qt.Commentf("account %d", i))
	}
}
