package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/platform/standin"
)

// Options of a soak.
type Options struct {
	Seed    uint64
	Entries int
	Workers int
	Callers int
	Length  time.Duration // of the time with disturbances
	Daemon  string        // path of gannetwelld
	Bench   string        // path of gannetbench, for the process of the stand-in
	Dir     string        // where settings and logs are written
	Planted Planted
	Moves   bool      // has half of the workers in a second pool, and configurations that send the queue there and back
	Outages bool      // adds long outages of the table service, each right after jobs of many short tasks
	Log     io.Writer // one line for each disturbance and each broken promise
}

// Result is the verdict of a soak.
type Result struct {
	Broken         []string      // promises, in the order found
	Disturbances   int           // brought about
	Jobs           int           // submitted
	Starts         int           // of tasks
	Repeats        int           // starts of tasks that had ended as done at a worker, without copies
	Checks         int           // promises checked
	ProcessMinutes float64       // of the entries, with their restarts
	Took           time.Duration // with the time to settle
}

// Times of a soak.
const (
	// settleTime is how long after the last disturbance every accepted job may take to end. It covers
	// leases of lost workers, late calls and the work that waits.
	settleTime = 60 * time.Second
	// stopTime is how long after that tasks of ended jobs may still run.
	stopTime = 5 * time.Second
	// settlePoll is the time between two looks.
	settlePoll = 200 * time.Millisecond
	// maxBroken is the number of broken promises after which a soak ends.
	maxBroken = 20
)

// soak is a run in progress.
type soak struct {
	o       Options
	check   *checker
	entries []*entry
	links   []*proxy // of the workers
	bursts  chan int // numbers of jobs of many tasks to submit
	ctx     context.Context

	platform     *exec.Cmd
	commands     *json.Encoder
	events       *bufio.Scanner
	storeAddress string // of the table service

	commandMu sync.Mutex // guards commands

	mu      sync.Mutex
	broken  []string
	closing bool
	since   time.Time
}

// Run runs a soak to its end or until ctx ends.
func Run(ctx context.Context, o Options) (r Result, err error) {
	defer func() { err = errors.Wrapf(err, "soak with seed %d", o.Seed) }()
	s := &soak{o: o, ctx: ctx, since: time.Now(), bursts: make(chan int)}
	s.check = newChecker(s.report)
	defer s.close()
	if err := s.startPlatform(); err != nil {
		return r, err
	}
	if err := s.addWorkers(); err != nil {
		return r, err
	}
	if err := s.startEntries(); err != nil {
		return r, err
	}
	events, err := s.disturbAll()
	if err != nil {
		return r, err
	}
	r = s.check.result() // before the lock: the checker reports with its own held
	r.Disturbances, r.Took = events, time.Since(s.since)
	r.ProcessMinutes = float64(len(s.entries)) * r.Took.Minutes()
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Broken = s.broken
	return r, ctx.Err()
}

// report records a broken promise.
func (s *soak) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	s.broken = append(s.broken, line)
	s.logLocked("BROKEN " + line)
}

func (s *soak) log(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked(line)
}

func (s *soak) logLocked(line string) {
	_, _ = fmt.Fprintf(s.o.Log, "%8.3f %s\n", time.Since(s.since).Seconds(), line)
}

// wait waits for a time, or until the soak ends.
func (s *soak) wait(d time.Duration) { _ = pause.For(s.ctx, d) }

// loopback returns an address of this process's own range, 127.N.net.host.
func loopback(network, host int) string {
	const firstRange, ranges = 16, 200
	return fmt.Sprintf("127.%d.%d.%d", firstRange+os.Getpid()%ranges, network, host)
}

// startPlatform starts the process of the stand-in and waits until it is ready.
func (s *soak) startPlatform() error {
	s.platform = exec.Command(s.o.Bench, "soak-platform", "--seed", strconv.FormatUint(s.o.Seed, 10), "--planted", string(s.o.Planted))
	in, err := s.platform.StdinPipe()
	if err != nil {
		return errors.Wrap(err, "start the stand-in")
	}
	out, err := s.platform.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "start the stand-in")
	}
	s.platform.Stderr = s.o.Log
	if err := s.platform.Start(); err != nil {
		return errors.Wrap(err, "start the stand-in")
	}
	s.commands, s.events = json.NewEncoder(in), bufio.NewScanner(out)
	if !s.events.Scan() {
		return errors.New("the stand-in has ended")
	}
	var ready Event
	if err := json.Unmarshal(s.events.Bytes(), &ready); err != nil {
		return errors.Wrap(err, "decode event")
	}
	s.storeAddress = ready.Address
	go s.readEvents()
	return nil
}

const (
	entryNetwork  = 1 // see loopback
	workerNetwork = 2
	workerPort    = 8700
)

// vmName returns the name of a worker's VM.
func vmName(i int) string { return fmt.Sprintf("vm%d", i) }

// addWorkers adds the workers, each behind a proxy.
func (s *soak) addWorkers() error {
	for i := range s.o.Workers {
		p, err := newProxy(net.JoinHostPort(loopback(workerNetwork, i+1), strconv.Itoa(workerPort)))
		if err != nil {
			return err
		}
		s.links = append(s.links, p)
		pool := queue.Pool
		if s.o.Moves && i%2 == 1 {
			pool = otherPool
		}
		s.command(Command{Do: DoAddVM, Add: &standin.VM{
			Name: vmName(i), Pool: pool, Listen: p.target, Public: p.address(), Zone: "zone-a", Capacity: workerCapacity,
		}})
	}
	return nil
}

// startEntries starts the entries, each with a proxy before the table service.
func (s *soak) startEntries() error {
	for i := range s.o.Entries {
		p, err := newProxy(s.storeAddress)
		if err != nil {
			return err
		}
		e := &entry{name: fmt.Sprintf("entry%d", i), address: loopback(entryNetwork, i+1), dir: s.o.Dir, daemon: s.o.Daemon, store: p, report: s.report}
		s.entries = append(s.entries, e)
		if err := e.writeSettings(); err != nil {
			return err
		}
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// readEvents passes the events of the workers to the checker.
func (s *soak) readEvents() {
	for s.events.Scan() {
		var e Event
		if err := json.Unmarshal(s.events.Bytes(), &e); err != nil {
			s.log("event not decoded: " + err.Error())
			continue
		}
		s.check.observe(e)
	}
	s.mu.Lock()
	closing := s.closing
	s.mu.Unlock()
	if !closing {
		s.report("the stand-in of the platform has ended by itself")
	}
}

// command sends a command to the stand-in. Its failure ends the stand-in, which the checker shows.
func (s *soak) command(c Command) {
	s.commandMu.Lock()
	defer s.commandMu.Unlock()
	if err := s.commands.Encode(c); err != nil {
		s.log("command not sent: " + err.Error())
	}
}

// disturbAll runs the callers and the drawn disturbances, and then waits until everything has settled.
func (s *soak) disturbAll() (events int, err error) {
	rnd := rand.New(rand.NewPCG(s.o.Seed, 0))
	drawn := drawEvents(rnd, s.o)
	submitting, endSubmitting := context.WithCancel(s.ctx)
	following, endFollowing := context.WithCancel(s.ctx)
	defer endFollowing()
	defer endSubmitting()
	var callers sync.WaitGroup
	for i := range s.o.Callers {
		c := s.newCaller(i, i%len(s.entries))
		callers.Go(func() { c.run(following, submitting) })
	}
	b := s.newCaller(s.o.Callers, 0)
	callers.Go(func() { b.runBursts(following, submitting, s.bursts) })
	if s.o.Moves {
		s.command(Command{Do: DoCatalog}) // now that the second pool is there
	}
	events = s.bringAbout(drawn)
	err = s.heal()
	endSubmitting()
	if err == nil {
		s.settle()
	}
	endFollowing()
	callers.Wait()
	return events, err
}

// bringAbout carries out the drawn disturbances, which may overlap.
func (s *soak) bringAbout(drawn []event) (n int) {
	var all sync.WaitGroup
	start := time.Now()
	for _, e := range drawn {
		s.wait(e.at - time.Since(start))
		if s.ctx.Err() != nil || s.brokenCount() >= maxBroken {
			break
		}
		n++
		s.log(e.String())
		all.Go(func() {
			if err := s.disturb(e); err != nil {
				s.report("%s: %v", e.kind, err)
			}
		})
	}
	all.Wait()
	return n
}

func (s *soak) brokenCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.broken)
}

// heal ends all disturbances.
func (s *soak) heal() error {
	for _, p := range s.links {
		p.setState(LinkUp)
	}
	for _, c := range []Command{{Do: DoStore}, {Do: DoSlowStore}, {Do: DoOmit}} {
		s.command(c)
	}
	for vm := range s.links {
		s.command(Command{Do: DoBoot, VM: vm})
	}
	for _, e := range s.entries {
		e.store.setState(LinkUp)
		e.signal(syscall.SIGCONT)
		if err := e.start(); err != nil {
			return err
		}
	}
	s.log("healed")
	return nil
}

// settle waits until all accepted jobs have ended and nothing of them runs. It does not wait if a promise
// is broken already.
func (s *soak) settle() {
	end := time.Now().Add(settleTime)
	for len(s.check.unfinished()) > 0 && time.Now().Before(end) && s.ctx.Err() == nil {
		if s.brokenCount() > 0 {
			return
		}
		s.wait(settlePoll)
	}
	for _, id := range s.check.unfinished() {
		s.report("job %s was accepted and has not ended %s after the last disturbance", id, settleTime)
	}
	end = time.Now().Add(stopTime)
	for time.Now().Before(end) && len(s.check.stillRunning()) > 0 {
		s.wait(settlePoll)
	}
	for _, name := range s.check.stillRunning() {
		s.report("%s runs %s after the end of its job", name, stopTime)
	}
	s.wait(eventDelay + settlePoll) // for checks of final states under way
}

// close ends all processes and connections.
func (s *soak) close() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	for _, e := range s.entries {
		e.signal(syscall.SIGCONT)
		e.kill()
		e.store.close()
	}
	for _, p := range s.links {
		p.close()
	}
	if s.platform != nil && s.platform.Process != nil {
		_ = s.platform.Process.Kill()
		_ = s.platform.Wait()
	}
}
