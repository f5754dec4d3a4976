package checker_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/bench/checker"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// write passes a row to the checker in the encoding of the simulated platform.
func write(c *checker.Checker, kind schema.Kind, name string, row any) {
	value, err := json.Marshal(map[string]any{"version": 1, "value": row})
	if err != nil {
		panic(err)
	}
	c.Wrote(platform.Write{Key: "row/" + table.Key{Kind: kind, Name: name}.String(), Value: value})
}

func vm(address, pool string, phase schema.Phase) schema.VM {
	return schema.VM{Rack: "r", Address: address, Pool: pool, Phase: phase}
}

// TestEveryCounterRises causes each violation, so that a counter which never rises is noticed.
func TestEveryCounterRises(t *testing.T) {
	now := time.Now()
	request := func(id string, result checker.Result) checker.Request {
		return checker.Request{ID: id, Entry: "e", Sent: now, Done: now.Add(time.Millisecond), Result: result}
	}
	for name, tc := range map[string]struct {
		do        func(c *checker.Checker)
		count     func(r checker.Report) float64
		want      float64
		violation bool
	}{
		"wrong_answers": {func(c *checker.Checker) { c.Finished(request("a", checker.ResultWrong), 0) }, func(r checker.Report) float64 { return float64(r.WrongAnswers) }, 1, true},
		"truncated":     {func(c *checker.Checker) { c.Finished(request("a", checker.ResultTruncated), 0) }, func(r checker.Report) float64 { return float64(r.Truncated) }, 1, true},
		"cut_off":       {func(c *checker.Checker) { c.Finished(request("a", checker.ResultCutOff), 0) }, func(r checker.Report) float64 { return float64(r.CutOff) }, 1, true},
		"once_ran_twice": {func(c *checker.Checker) {
			r := request("a", checker.ResultComplete)
			r.Once = true
			c.Finished(r, 0)
			c.RequestStarted("w1", "s", "a", now)
			c.RequestStarted("w2", "s", "a", now)
		}, func(r checker.Report) float64 { return float64(r.OnceRanTwice) }, 1, true},
		"not_run_but_ran": {func(c *checker.Checker) {
			c.Finished(request("a", checker.ResultNotRun), 0)
			c.RequestStarted("w1", "s", "a", now)
		}, func(r checker.Report) float64 { return float64(r.NotRunButRan) }, 1, true},
		"budget_violations by the table": {func(c *checker.Checker) {
			write(c, schema.KindPool, "p", schema.Pool{MaxUnavailable: 1})
			write(c, schema.KindVM, "w1", vm("a", "p", schema.PhaseDraining))
			write(c, schema.KindVM, "w2", vm("b", "p", schema.PhaseRebooting))
		}, func(r checker.Report) float64 { return float64(r.BudgetViolations) }, 1, true},
		"budget_violations by power": {func(c *checker.Checker) {
			write(c, schema.KindPool, "p", schema.Pool{MaxUnavailable: 0})
			write(c, schema.KindVM, "w1", vm("a", "p", schema.PhaseActive))
			c.Power("w1", false)
		}, func(r checker.Report) float64 { return float64(r.BudgetViolations) }, 1, true},
		"vms_in_two_pools by work": {func(c *checker.Checker) {
			c.RequestStarted("w1", "s1", "a", now)
			c.RequestStarted("w1", "s2", "b", now)
		}, func(r checker.Report) float64 { return float64(r.VMsInTwoPools) }, 1, true},
		"vms_in_two_pools by address": {func(c *checker.Checker) {
			write(c, schema.KindVM, "w1", vm("a", "p", schema.PhaseActive))
			write(c, schema.KindVM, "w2", vm("a", "q", schema.PhaseActive))
		}, func(r checker.Report) float64 { return float64(r.VMsInTwoPools) }, 1, true},
		"new_work_after_leaving": {func(c *checker.Checker) {
			c.Leaving("w1", true, now)
			c.RequestStarted("w1", "s", "a", now.Add(2*time.Second))
		}, func(r checker.Report) float64 { return r.NewWorkAfterLeavingMs }, 2000, false},
		"config_in_force": {func(c *checker.Checker) {
			c.EditAccepted(5, now.Add(-3*time.Second))
			r := request("a", checker.ResultComplete)
			r.Revision = 4
			c.Finished(r, 4)
		}, func(r checker.Report) float64 { return r.ConfigInForceMs }, 3000, false},
		"config_reverts": {func(c *checker.Checker) {
			r := request("a", checker.ResultComplete)
			r.Revision = 4
			c.Finished(r, 5)
		}, func(r checker.Report) float64 { return float64(r.ConfigReverts) }, 1, true},
		"moves": {func(c *checker.Checker) {
			write(c, schema.KindVM, "w1", vm("a", "p", schema.PhaseActive))
			write(c, schema.KindVM, "w1", vm("a", "", schema.PhaseActive))
		}, func(r checker.Report) float64 { return float64(r.Moves) }, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := checker.New()
			before := c.Report()
			qt.Check(t, before.HasViolations(), qt.IsFalse)
			qt.Check(t, tc.count(before), qt.Equals, 0.0)
			tc.do(c)
			after := c.Report()
			qt.Check(t, tc.count(after), qt.Equals, tc.want, qt.Commentf("%s", fmt.Sprintf("%+v", after)))
			qt.Check(t, after.HasViolations(), qt.Equals, tc.violation)
		})
	}
}
