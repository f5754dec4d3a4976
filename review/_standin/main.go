package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case; trouble tells whether its disruption is brought about. It returns an error if the
// case could not run.
type scenario func(d *deployment, program string, trouble bool) error

// cases are the scripted cases, by the name of their folder, with the rules that they check.
var cases = map[string]struct {
	play  scenario
	rules []rule
}{
	"1": {longOutage, []rule{ruleTwice}},
	"2": {staleClock, []rule{ruleTwice}},
	"3": {flappingPool, []rule{ruleLost}},
}

// The entries are started by the main thread: they are killed when the thread that started them ends, however
// this program ends.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER PROGRAM")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

// runCase plays a case with the entries' program, writes the record into the folder and returns the exit code.
func runCase(name, folder, program string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	rec, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	if err := play(c.play, rec, program, os.Getenv("TROUBLE") != "0"); err != nil {
		rec.write("case", "could not run: %v", err)
		fmt.Fprintf(os.Stderr, "case %s could not run: %v\n", name, err)
		return exitNotRun
	}
	broken := false
	for _, r := range c.rules {
		n := rec.count(r)
		broken = broken || n > 0
		rec.write("case", "rule %s: broken %d times", r, n)
		fmt.Printf("case %s: rule %s broken %d times\n", name, r, n)
	}
	if broken {
		return exitBroken
	}
	return exitHeld
}

// play starts a deployment, plays a case on it and ends all that it started. At a signal the program exits, and
// the entries end with it.
func play(s scenario, rec *record, program string, trouble bool) error {
	d, err := newDeployment(rec)
	if err != nil {
		return err
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		rec.write("case", "ended by %s", <-signals)
		rec.close()
		_ = os.RemoveAll(d.dir)
		os.Exit(exitNotRun)
	}()
	return s(d, program, trouble)
}
