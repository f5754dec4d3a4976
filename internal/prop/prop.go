// Package prop runs rapid property tests with a fixed seed and in virtual time
// (testing/synctest), so that every run generates the same cases. Tests of the decision
// packages call Check; FindsFailure shows that a property detects an injected fault.
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

// seed is rapid's seed for all checks that name none.
const seed = "20261202"

// init sets rapid's flags. Shrinking is off: rapid identifies a failure by its call
// stack, and all failures leave the bubble at the same place, so it would shrink to
// cases that merely ended early and report "overrun".
func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true", "rapid.shrinktime": "1ns"} {
		mustSet(name, value)
	}
}

// Check is rapid.Check with each case in its own synctest bubble.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) { runInBubble(t, func() { property(rt) }) })
}

// CheckRealTime is rapid.Check with n cases in real time, for properties over network
// connections. Such a property must not depend on timing.
func CheckRealTime(t *testing.T, n int, property func(*rapid.T)) {
	t.Helper()
	defer setFlags(map[string]string{"rapid.checks": strconv.Itoa(n)})()
	rapid.Check(t, property)
}

// FindsFailureRealTime is FindsFailure in real time.
func FindsFailureRealTime(t *testing.T, property func(*rapid.T)) bool {
	t.Helper()
	return findsFailure(property)
}

// casesPerGC is the number of cases between two garbage collections.
const casesPerGC = 50

// casesRun counts the cases run. It needs no lock, since tests with cases do not run in parallel.
var casesRun int

// runInBubble runs f in virtual time and passes on the panic by which rapid ends a
// case. One processor and no garbage collection keep the order in which goroutines run
// the same in every run.
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

// CheckSeed is Check with the single case that a seed draws.
func CheckSeed(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	defer setFlags(map[string]string{"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": "1"})()
	Check(t, property)
}

// Replay runs the single case that a seed draws and ignores its result. rapid runs a
// failing case more than once.
func Replay(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	defer setFlags(map[string]string{"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": "1"})()
	fails(func(rt *rapid.T) { runInBubble(t, func() { property(rt) }) })
}

// FindsFailure reports whether the property fails for some case. Tests call it on
// deliberately broken variants, to show that the property can fail.
func FindsFailure(t *testing.T, property func(*rapid.T)) bool {
	t.Helper()
	return findsFailure(func(rt *rapid.T) { runInBubble(t, func() { property(rt) }) })
}

// FindsFailureFrom is FindsFailure with the cases that a seed draws, for a fault that the usual cases show only late.
func FindsFailureFrom(t *testing.T, seed uint64, property func(*rapid.T)) bool {
	t.Helper()
	defer setFlags(map[string]string{"rapid.seed": strconv.FormatUint(seed, 10)})()
	return FindsFailure(t, property)
}

func findsFailure(property func(*rapid.T)) bool {
	defer setFlags(map[string]string{"rapid.checks": maxSearchCases})()
	return fails(property)
}

// fails reports whether a check of the property fails.
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

// maxSearchCases bounds the cases that FindsFailure runs; it stops at the first failure.
const maxSearchCases = "3000"

// setFlags sets flags and returns a function that restores their previous values.
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

// recorder is a rapid.TB that only records whether the check failed.
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
