package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/cmd/gannetctl/cmds"
	"github.com/gannetwell/gannetwell/pkg/explain"
	"github.com/gannetwell/gannetwell/pkg/fleet"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
	"github.com/gannetwell/gannetwell/service/api"
	"github.com/gannetwell/gannetwell/service/server"
)

// noObserver is an explain.Observer that knows no VM.
type noObserver struct{}

func (noObserver) Observe(context.Context, *table.Snapshot) map[string]fleet.Observation { return nil }

// Patterns of output that differs from run to run.
var (
	editIDs = regexp.MustCompile(`ctl-[0-9a-f]+`)
	times   = regexp.MustCompile(`\d{4}-\d\d-\d\dT\S+Z`)
	hashes  = regexp.MustCompile(`[0-9a-f]{64}`)
	ages    = regexp.MustCompile(`\b\d+(\.\d+)?m?s ago`)
)

// normalizeOutput replaces what differs from run to run by placeholders.
func normalizeOutput(s, dir string) string {
	s = strings.ReplaceAll(s, dir, "DIR")
	s = editIDs.ReplaceAllString(s, "ID")
	s = times.ReplaceAllString(s, "TIME")
	s = hashes.ReplaceAllString(s, "HASH")
	return ages.ReplaceAllString(s, "AGO")
}

// withJobService adds the job service's API with fixed responses to h.
func withJobService(h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	serveJSON := func(path string, v any) {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) })
	}
	serveJSON("GET "+api.PathShards, api.Shards{Shards: []api.ShardStatus{
		{Pool: "scoring", Owner: "e1", Term: 3, Loaded: true, Workers: 8, Cpu: 256000, CpuUsed: 80000, CpuWaiting: 1000, TasksWaiting: 1},
		{Pool: "booking"},
	}})
	serveJSON("GET "+api.PathJobs+"/score-now/1", api.JobStatus{Queue: "score-now", ID: "1", Outcome: "ok", State: "running", Pool: "scoring", Owner: "e1"})
	serveJSON("GET "+api.PathJobs+"/score-now/2", api.JobStatus{Queue: "score-now", ID: "2", Outcome: "not_found", Pool: "scoring"})
	serveJSON("GET "+api.PathZones, api.Zones{Zones: []api.ZoneStatus{
		{Zone: "hall-a", OutForS: 12.3, Workers: 20, Tasks: 7, Complete: true}, {Zone: "hall-b", OutForS: 3, Workers: 4},
	}})
	serveJSON("GET "+api.PathWaves, api.Waves{Complete: true, Waves: []api.WaveStatus{
		{Wave: 7, Waiting: 40, Draining: 12, Down: 3, Done: 14, ElapsedS: 8.2, WithinS: 26, NeedsS: 21.4, Limit: "step", LimitOf: "j1.0.0", AtRisk: true},
		{Wave: 8, Waiting: 1, WithinS: 60, NeedsS: -1, Limit: "max_down", AtRisk: true},
		{Wave: 9, Draining: 1, WithinS: 60, NeedsS: 5, Limit: "round"},
	}})
	serveJSON("GET "+api.PathAccounts, api.Accounts{CatalogVersion: 7, Accounts: []api.AccountStatus{
		{Name: "north", Keys: []string{"90706fbf"}, Weight: 5, Cpu: 4000, MemoryMb: 100, Pools: []api.AccountInPool{
			{Pool: "booking", Bound: true, Running: 0.25, Wanted: 0.75, Share: 0.5}, {Pool: "scoring", Running: 0.125, Wanted: 0.125},
		}},
		{Name: "south", Keys: []string{}, Weight: 1.5, Pools: []api.AccountInPool{}},
	}})
	return mux
}

// TestScripts runs the scripts of testdata, each against its own entry: run executes a command
// line (with standard input after "---"), file writes a file, fault fails every commit.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		dir := t.TempDir()
		store := fake.New()
		r := replica.New(store.View("z"))
		s := httptest.NewServer(withJobService(server.New(r, explain.New(r, noObserver{}), server.WithOperatorAccounts([]schema.Account{
			{Name: "maria", Role: schema.RoleEdit, TokenSha256: server.HashToken("tok")},
		}))))
		defer s.Close()
		t.Setenv("GANNETWELL_ENTRY", s.URL)
		t.Setenv("GANNETWELL_TOKEN", "tok")
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fault" {
				store.SetRules(fake.Rule{Op: rest.OpCommit, Fault: fake.Fault(d.CmdArgs[0].Key)})
				return ""
			}
			if d.Cmd == "file" {
				name := filepath.Join(dir, d.CmdArgs[0].Key)
				qt.Assert(t, os.WriteFile(name, []byte(d.Input), 0o600), qt.IsNil)
				return ""
			}
			line, stdin, _ := strings.Cut(d.Input, "\n---\n")
			args := strings.Split(strings.ReplaceAll(strings.ReplaceAll(line, "\n", " "), "DIR", dir), " ")
			var out bytes.Buffer
			code := cmds.New(strings.NewReader(stdin+"\n"), &out, &out).Run(args)
			return normalizeOutput(out.String(), dir) + fmt.Sprintf("exit %d\n", code)
		})
	})
}
