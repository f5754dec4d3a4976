// Package prop runs property tests in virtual time and with a fixed seed, so
// that they try the same cases at every run and CI gives the same verdict.
package prop

import (
	"flag"
	"runtime"
	"runtime/debug"
	"strconv"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

const seed = "20261202"

// init has a case reported as it was drawn: what ends a case leaves its bubble at one place, so that
// the library, which tells failures apart by where they come from, would go on to cases that
// only ended early, and report "overrun" for what had failed.
func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true", "rapid.shrinktime": "1ns"} {
		mustSet(name, value)
	}
}

// Check is rapid.Check with each case in a bubble of virtual time of its own.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) { runInBubble(t, func() { property(rt) }) })
}

// CheckRealTime is rapid.Check with n cases in real time, for properties over real
// connections; such a property must not judge by time.
func CheckRealTime(t *testing.T, n int, property func(*rapid.T)) {
	t.Helper()
	defer setFlags(map[string]string{"rapid.checks": strconv.Itoa(n)})()
	rapid.Check(t, property)
}

// FindsFailureRealTime is Finds in real time.
func FindsFailureRealTime(t *testing.T, property func(*rapid.T)) bool {
	t.Helper()
	return findsFailure(property)
}

// casesPerGC is after how many cases garbage is collected: a case leaves 1 MB or less.
const casesPerGC = 50

// casesRun counts the cases that were played; tests that play cases do not run side by side.
var casesRun int

// runInBubble runs f in virtual time; rapid ends a case by a panic, which must reach it. Goroutines
// that one event wakes run in an order that deterministic only on one processor, and only while no
// garbage is collected, which puts those that run at the end of the queue.
func runInBubble(t *testing.T, f func()) {
	if deterministic {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		defer debug.SetGCPercent(debug.SetGCPercent(-1))
		if casesRun++; casesRun%casesPerGC == 0 {
			runtime.GC()
		}
	}
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure != nil {
		panic(failure)
	}
}

// CheckSeed is Check with the one case that a seed draws.
func CheckSeed(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	defer setFlags(map[string]string{"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": "1"})()
	Check(t, property)
}

// Replay plays the one case that a seed draws, whether it fails or not. A case that fails is
// played more than once.
func Replay(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	defer setFlags(map[string]string{"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": "1"})()
	fails(func(rt *rapid.T) { runInBubble(t, func() { property(rt) }) })
}

// FindsFailure tells whether the property fails for some case; tests use it on variants
// that are broken on purpose, to show that the property can fail.
func FindsFailure(t *testing.T, property func(*rapid.T)) bool {
	t.Helper()
	return findsFailure(func(rt *rapid.T) { runInBubble(t, func() { property(rt) }) })
}

func findsFailure(property func(*rapid.T)) bool {
	defer setFlags(map[string]string{"rapid.checks": maxSearchCases})()
	return fails(property)
}

// fails tells whether a check of the property fails.
func fails(property func(*rapid.T)) bool {
	r := &recorder{}
	done := make(chan struct{})
	go func() {
		defer close(done) // FailNow ends this goroutine
		rapid.Check(r, property)
	}()
	<-done
	return r.failed
}

// maxSearchCases is how many cases a search for a planted fault may take: it ends at the first that
// fails, so that it may be long.
const maxSearchCases = "3000"

// setFlags sets flags, and returns what sets them back.
func setFlags(values map[string]string) (restore func()) {
	before := map[string]string{}
	for name, value := range values {
		before[name] = flag.Lookup(name).Value.String()
		mustSet(name, value)
	}
	return func() {
		for name, value := range before {
			mustSet(name, value)
		}
	}
}

func mustSet(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// recorder is a rapid.TB that only notes whether the check failed.
type recorder struct{ failed bool }

func (r *recorder) Helper()               {}
func (r *recorder) Name() string          { return "planted" }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Log(...any)            {}
func (r *recorder) Skipf(string, ...any)  { runtime.Goexit() }
func (r *recorder) Skip(...any)           { runtime.Goexit() }
func (r *recorder) SkipNow()              { runtime.Goexit() }
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }
func (r *recorder) Fatal(...any)          { r.FailNow() }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }

func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}
