// Package prop runs property tests in virtual time and with a fixed seed, so
// that they try the same cases at every run and CI gives the same verdict.
package prop

import (
	"flag"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

const seed = "20261202"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true", "rapid.shrinktime": "2s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Check is rapid.Check with each case in a bubble of virtual time of its own.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) { bubble(t, func() { property(rt) }) })
}

// CheckReal is rapid.Check with n cases in real time, for properties over real
// connections; such a property must not judge by time.
func CheckReal(t *testing.T, n int, property func(*rapid.T)) {
	t.Helper()
	setChecks(strconv.Itoa(n))
	defer setChecks(checks)
	rapid.Check(t, property)
}

// FindsReal is Finds in real time.
func FindsReal(t *testing.T, property func(*rapid.T)) bool {
	t.Helper()
	return finds(property)
}

// bubble runs f in virtual time; rapid ends a case by a panic, which must reach it.
func bubble(t *testing.T, f func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure != nil {
		panic(failure)
	}
}

// Finds tells whether the property fails for some case; tests use it on variants
// that are broken on purpose, to show that the property can fail.
func Finds(t *testing.T, property func(*rapid.T)) bool {
	t.Helper()
	return finds(func(rt *rapid.T) { bubble(t, func() { property(rt) }) })
}

func finds(property func(*rapid.T)) bool {
	setChecks(findChecks)
	defer setChecks(checks)
	r := &recorder{}
	done := make(chan struct{})
	go func() {
		defer close(done) // FailNow ends this goroutine
		rapid.Check(r, property)
	}()
	<-done
	return r.failed
}

// The cases of a proof, and those that a search for a planted fault may take:
// it ends at the first, so that it may be long.
const (
	checks     = "100"
	findChecks = "3000"
)

func setChecks(n string) {
	if err := flag.Set("rapid.checks", n); err != nil {
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
