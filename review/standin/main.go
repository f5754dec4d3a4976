package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
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

// play starts a deployment, plays a case on it and ends all that it started, also at a signal.
func play(s scenario, rec *record, program string, trouble bool) error {
	d, err := newDeployment(rec)
	if err != nil {
		return err
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- s(d, program, trouble) }()
	select {
	case err := <-done:
		return err
	case sig := <-signals:
		return errors.Errorf("ended by %s", sig)
	}
}
