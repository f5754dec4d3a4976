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

// load is a pool at its limit: twenty accounts hand in jobs of eight tasks, each as many
// as it has been promised but for one, which sends more.
type load struct {
	accounts int
	greed    float64       // times its promise that account 0 sends
	hosts    int           // of 32 cores
	length   time.Duration // of the load
}

const (
	perAccount = 2.0 // jobs a second that an account has been promised
	taskTime   = 640 * time.Millisecond
	objective  = 600*time.Millisecond + 1600*time.Millisecond*640/1000
	tick       = 20 * time.Millisecond
)

// order puts candidates into the order in which they get hosts; running is what each
// account has running.
type order func(cs []Candidate, now time.Duration, running map[string]int)

func bySlack(cs []Candidate, now time.Duration, _ map[string]int) {
	for i := range cs {
		cs[i].Excess = false
	}
	Sort(cs, now)
}

func promisedFirst(cs []Candidate, now time.Duration, _ map[string]int) { Sort(cs, now) }

// byShare is weighted max-min: the account with least running comes first.
func byShare(cs []Candidate, now time.Duration, running map[string]int) {
	bySlack(cs, now, nil)
	slices.SortStableFunc(cs, func(a, b Candidate) int {
		return running[a.Step.Job.Account] - running[b.Step.Job.Account]
	})
}

// played is what the callers of an account got.
type played struct{ sent, inTime, done int }

// play lets the load pass through Sort and Plan and returns what each account got.
func (l load) play(o order) []played {
	rnd := rand.New(rand.NewPCG(7, 7))
	got := make([]played, l.accounts)
	book := jobs.NewRegistry(1)
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
	for now := time.Duration(0); now < l.length+20*time.Second; now += tick {
		for a := range l.accounts {
			rate := perAccount
			if a == 0 {
				rate *= l.greed
			}
			if now >= l.length || rnd.Float64() > rate*tick.Seconds() {
				continue
			}
			number++
			// What is beyond the promise is drawn: the mean decides here, not the moment.
			excess := a == 0 && rnd.Float64() > 1/l.greed
			book.Add(fmt.Sprintf("%016x", number), jobs.Record{
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
			book.EndAttempt(e.a.Task, e.a, e.a.Number, platform.EndDone, "")
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
		for _, j := range book.Active() {
			s := j.Steps[0]
			c := Candidate{Step: s, Deadline: j.AddedAt + objective, Lost: j.AddedAt + 3*objective, Left: taskTime, Excess: j.Excess && now-j.AddedAt < 10*time.Second}
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
			ends = append(ends, end{at: now + taskTime, a: book.StartAttempt(st.Task, st.Host.Boot, now), host: st.Host})
			running[st.Task.Step.Job.Account]++
		}
	}
	return got
}

// inTime is the part of the jobs of accounts that was in time.
func inTime(got []played) float64 {
	sent, good := 0, 0
	for _, p := range got {
		sent += p.sent
		good += p.inTime
	}
	return float64(good) / float64(sent)
}

// TestExcess has one account of twenty send five times its promise to a pool that is
// full with what was promised. The nineteen are served as if it kept its promise, and
// all that it sent is done in the end.
func TestExcess(t *testing.T) {
	c := qt.New(t)
	l := load{accounts: 20, greed: 5, hosts: 21, length: 30 * time.Second}
	alone := load{accounts: 20, greed: 1, hosts: 21, length: 30 * time.Second}.play(promisedFirst)
	for name, o := range map[string]order{"by slack": bySlack, "by share": byShare, "promised first": promisedFirst} {
		got := l.play(o)
		t.Logf("%s: %.2f of the jobs of the nineteen in time (%.2f without excess), %.2f of the one", name, inTime(got[1:]), inTime(alone[1:]), inTime(got[:1]))
	}
	got := l.play(promisedFirst)
	c.Check(inTime(alone[1:])-inTime(got[1:]) <= 0.03, qt.IsTrue)
	for i, p := range got {
		c.Check(p.done, qt.Equals, p.sent, qt.Commentf("account %d", i))
	}
}
