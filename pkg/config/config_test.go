package config_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/config"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// TestProblems checks the problems reported for the documents in testdata/problems.
func TestProblems(t *testing.T) {
	datadriven.RunTest(t, "testdata/problems", func(t *testing.T, d *datadriven.TestData) string {
		target := config.TargetSettings
		if d.Cmd == "document" {
			target = config.TargetDocument
		}
		var v any
		if err := config.Decode("in.jsonc", []byte(d.Input), target, &v); err != nil {
			return err.Error()
		}
		return "valid"
	})
}

// TestDefaults checks the defaults of nested objects and of references.
func TestDefaults(t *testing.T) {
	c := qt.New(t)
	var s schema.Settings
	err := config.LoadFile("../../_fixtures/entry-1.jsonc", config.TargetSettings, &s)
	c.Assert(err, qt.IsNil)
	c.Check(s.Gateway.Policy, qt.Equals, schema.GatewaySettingsPolicyP2C)
	c.Check(s.Control.LeaseMs, qt.Equals, 5000)
	c.Check(s.LogLevel, qt.Equals, schema.SettingsLogLevelInfo)
	c.Check(s.Callers.TLS, qt.IsNil)
	var doc schema.Document
	c.Assert(config.LoadFile("../../_fixtures/aula-pampa.jsonc", config.TargetDocument, &doc), qt.IsNil)
	c.Check(doc.VMs["w01"].Phase, qt.Equals, schema.PhaseActive)
	c.Check(doc.Services["grades"].MaxInFlight, qt.Equals, 256)
}

// FuzzDecode checks that arbitrary input does not cause a panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", /* c */ "zone": "z",}`))
	f.Add([]byte("{\"a\":\n[1,2,{\"b\":}]"))
	f.Add([]byte("\xff{"))
	f.Fuzz(func(t *testing.T, src []byte) {
		var s schema.Settings
		err := config.Decode("fuzz", src, config.TargetSettings, &s)
		if err == nil && s.Name == "" {
			t.Fatal("settings without a name were accepted")
		}
	})
}
