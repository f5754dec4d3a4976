// Command review2 plays the scripts of review/4 and later: it starts entries of the system as separate processes
// beside stand-ins of the platform, minions and clients, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

var errCantRun = errors.New("the case can't run")

// cases are the scripts by name.
var cases = map[string]func(w *world, trouble bool){"record": playRecord, "reroute": playReroute}

// maxPlay is how long a play may take, less than the 120 s that a script has.
const maxPlay = 115 * time.Second

// The entries end with the thread that started them, which is the main one.
func init() { runtime.LockOSThread() }

func check(err error) {
	if err != nil {
		panic(fmt.Errorf("%w: %w", errCantRun, err))
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(exitCantRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(c func(w *world, trouble bool), dir string, trouble bool) (code int) {
	w := newWorld(dir)
	defer w.close()
	go endEarly(w)
	defer func() {
		if p := recover(); p != nil {
			w.logf("the case could not run: %v", p)
			fmt.Println("could not run:", p)
			code = exitCantRun
		}
	}()
	w.logf("disruption: %v", trouble)
	c(w, trouble)
	if broken := w.ran.failures(); len(broken) > 0 {
		fmt.Println("broken:", broken[0])
		return exitBroken
	}
	w.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// endEarly ends the play, with all its processes, at a signal or when it takes too long.
func endEarly(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxPlay):
	}
	w.close()
	os.Exit(exitCantRun)
}
