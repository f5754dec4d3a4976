package config_test

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/config"
	schemafiles "github.com/gannetwell/gannetwell/schema"
)

// definition is a part of a schema, as far as the test needs it.
type definition struct {
	Type       string                 `json:"type"`
	Ref        string                 `json:"$ref"`
	Properties map[string]*definition `json:"properties"`
	Defs       map[string]*definition `json:"$defs"`
}

// numbersOf returns the paths of all numbers in a document, without those in arrays.
func numbersOf(root, at *definition, path []string) (paths [][]string) {
	for _, name := range slices.Sorted(maps.Keys(at.Properties)) {
		d := at.Properties[name]
		if d.Ref != "" {
			d = root.Defs[d.Ref[len("#/$defs/"):]]
		}
		here := append(slices.Clone(path), name)
		if d.Type == "integer" || d.Type == "number" {
			paths = append(paths, here)
		}
		paths = append(paths, numbersOf(root, d, here)...)
	}
	return paths
}

// TestNumbersOutOfRange guards against a number in the settings that overflows, and ends the process, long after its start.
func TestNumbersOutOfRange(t *testing.T) {
	for target, base := range map[config.Target]string{
		config.TargetSettings: `{"name": "e", "zone": "z", "callers": {"address": ":1"}, "operators": {"address": ":2"}, "peers": {"address": ":3", "secret": "0123456789abcdef"}, "platform": {"url": "http://p"}}`,
		config.TargetService: `{"name": "e", "zone": "z", "address": "a", "callers": ":1", "readiness": ":2", "ports": [3, 4], "memory_mb": 64,
			"store": {"address": ":5"}, "machines": {"address": ":6"}, "timing": {"grace_s": 1, "max_lease_ms": 1000, "retention_s": 1}}`,
	} {
		raw, err := schemafiles.Files.ReadFile(string(target))
		qt.Assert(t, err, qt.IsNil)
		var root definition
		qt.Assert(t, json.Unmarshal(raw, &root), qt.IsNil)
		var v any
		qt.Assert(t, config.Decode("sound", []byte(base), target, &v), qt.IsNil)
		for _, path := range numbersOf(&root, &root, nil) {
			t.Run(string(target)+"/"+path[len(path)-1], func(t *testing.T) {
				for _, number := range []string{"9223372036854775807", "9223372036854775808", "1e300", "-1e300", "-9223372036854775808"} {
					var doc map[string]any
					qt.Assert(t, json.Unmarshal([]byte(base), &doc), qt.IsNil)
					at := doc
					for _, name := range path[:len(path)-1] {
						if at[name] == nil {
							at[name] = map[string]any{}
						}
						at = at[name].(map[string]any)
					}
					at[path[len(path)-1]] = json.RawMessage(number)
					src, err := json.Marshal(doc)
					qt.Assert(t, err, qt.IsNil)
					err = config.Decode("odd", src, target, &v)
					qt.Assert(t, errors.As(err, new(config.ErrInvalid)), qt.IsTrue, qt.Commentf("%s: %v", number, err))
					qt.Check(t, err, qt.ErrorMatches, ".*"+path[len(path)-1]+".*")
				}
			})
		}
	}
}
