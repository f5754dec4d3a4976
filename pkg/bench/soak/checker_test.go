package soak

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestChecker runs the scripts of testdata: what workers did and what callers were told, and which
// promises that breaks.
func TestChecker(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &checkerScript{t: t}
			s.check = newChecker(s.report)
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(d) })
		})
	})
}

// checkerScript feeds a checker; each command prints what it broke.
type checkerScript struct {
	t     *testing.T
	check *checker

	mu     sync.Mutex
	broken []string // by the present command
}

// report records a broken promise.
func (s *checkerScript) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// takeBroken returns the promises that were broken since the last call.
func (s *checkerScript) takeBroken() (broken []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	broken, s.broken = s.broken, nil
	return broken
}

func (s *checkerScript) run(d *datadriven.TestData) string {
	var id, state, boot, task, reason, saved string
	attempt := int64(1)
	d.MaybeScanArgs(s.t, "id", &id)
	d.MaybeScanArgs(s.t, "state", &state)
	d.MaybeScanArgs(s.t, "boot", &boot)
	d.MaybeScanArgs(s.t, "task", &task)
	d.MaybeScanArgs(s.t, "reason", &reason)
	d.MaybeScanArgs(s.t, "saved", &saved)
	d.MaybeScanArgs(s.t, "attempt", &attempt)
	e := Event{At: time.Now().UnixNano(), Boot: boot, Task: task, Attempt: attempt, Reason: platform.EndReason(reason), Checkpoint: saved}
	switch d.Cmd {
	case "submit":
		s.check.submitted(id, parseSteps(strings.TrimSpace(d.Input)))
	case "accepted":
		s.check.accepted(id)
	case "refused":
		s.check.refused(id)
	case "cancelling":
		s.check.cancelling(id)
	case "cancelled":
		s.check.cancelled(id)
	case "not-found":
		s.check.notFound(id)
	case "told":
		s.check.told(id, state)
	case "start":
		e.Kind = EventStarted
		s.check.observe(e)
	case "end":
		e.Kind = EventEnded
		s.check.observe(e)
	case "ack":
		e.Kind, e.Counts = EventAcked, !d.HasArg("lapsed")
		s.check.observe(e)
	case "too-large":
		e.Kind = EventTooLarge
		s.check.observe(e)
	case "disturb":
		length, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			s.t.Fatal(err)
		}
		end := s.check.disturbing(boot, shortestLapse)
		time.Sleep(length)
		end()
	case "wait":
		length, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			s.t.Fatal(err)
		}
		time.Sleep(length)
		synctest.Wait()
	case "unfinished":
		return strings.Join(s.check.unfinished(), " ") + "\n"
	case "still-running":
		return strings.Join(s.check.stillRunning(), " ") + "\n"
	default:
		s.t.Fatalf("unknown command %q", d.Cmd)
	}
	broken := s.takeBroken()
	if len(broken) == 0 {
		return ""
	}
	return strings.Join(broken, "\n") + "\n"
}
