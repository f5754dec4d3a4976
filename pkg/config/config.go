package config

import (
	"bytes"
	"encoding/json"
	"os"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/tailscale/hujson"

	schemafiles "github.com/gannetwell/gannetwell/schema"
)

// Target names the schema definition that a document is validated against.
type Target string

// Targets for whole documents.
const (
	TargetSettings Target = "settings.json"
	TargetDocument Target = "table.json"
	TargetService  Target = "service.json"
)

// TargetRow returns the target for one kind of row, such as "VM" or "Pool".
func TargetRow(def string) Target { return Target("table.json#/$defs/" + def) }

const schemaBase = "https://gannetwell.invalid/schema/"

var schemaNames = []string{"table.json", "settings.json", "messages.json", "service.json"}

var (
	schemaCacheMu sync.Mutex
	schemaCache   = map[Target]*jsonschema.Schema{}
	compiler      = sync.OnceValues(newCompiler)
)

// newCompiler loads the embedded schemas.
func newCompiler() (c *jsonschema.Compiler, err error) {
	c = jsonschema.NewCompiler()
	for _, name := range schemaNames {
		raw, err := schemafiles.Files.ReadFile(name)
		if err != nil {
			return nil, errors.Wrapf(err, "read schema %s", name)
		}
		doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
		if err != nil {
			return nil, errors.Wrapf(err, "parse schema %s", name)
		}
		if err := c.AddResource(schemaBase+name, doc); err != nil {
			return nil, errors.Wrapf(err, "add schema %s", name)
		}
	}
	return c, nil
}

// schemaOf returns the compiled schema of a target.
func schemaOf(t Target) (s *jsonschema.Schema, err error) {
	schemaCacheMu.Lock()
	defer schemaCacheMu.Unlock()
	if s, ok := schemaCache[t]; ok {
		return s, nil
	}
	c, err := compiler()
	if err != nil {
		return nil, err
	}
	s, err = c.Compile(schemaBase + string(t))
	if err != nil {
		return nil, errors.Wrapf(err, "compile schema %s", t)
	}
	schemaCache[t] = s
	return s, nil
}

// LoadFile reads a file and decodes it into v like [Decode].
func LoadFile(file string, t Target, v any) (err error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	return Decode(file, src, t, v)
}

// Decode validates src, JSON with comments, against the target, fills in defaults and decodes
// it into v. It returns an [ErrInvalid] if src is invalid; file is used only in messages.
func Decode(file string, src []byte, t Target, v any) (err error) {
	full, err := Complete(file, src, t)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(full, v), "decode %s", file)
}

// Complete validates src like [Decode] and returns it as plain JSON with defaults filled in.
func Complete(file string, src []byte, t Target) (full []byte, err error) {
	s, err := schemaOf(t)
	if err != nil {
		return nil, err
	}
	tree, err := hujson.Parse(src)
	if err != nil {
		return nil, syntaxError(file, src, err)
	}
	at := newPositions(src, &tree)
	if len(at.duplicates) > 0 {
		return nil, ErrInvalid{File: file, Problems: at.duplicates}
	}
	tree.Standardize()
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(tree.Pack()))
	if err != nil {
		return nil, errors.Wrapf(err, "parse %s", file)
	}
	if err := s.Validate(doc); err != nil {
		return nil, schemaError(file, at, err)
	}
	return json.Marshal(fillDefaults(s, doc))
}

// fillDefaults sets every absent property of v that has a default, and returns v.
func fillDefaults(s *jsonschema.Schema, v any) any {
	for s.Ref != nil {
		s = s.Ref
	}
	switch v := v.(type) {
	case map[string]any:
		for name, sub := range s.Properties {
			if _, ok := v[name]; !ok && defaultOf(sub) != nil {
				v[name] = cloneDefault(*defaultOf(sub))
			}
			if child, ok := v[name]; ok {
				v[name] = fillDefaults(sub, child)
			}
		}
		if sub, ok := s.AdditionalProperties.(*jsonschema.Schema); ok {
			for name, child := range v {
				v[name] = fillDefaults(sub, child)
			}
		}
	case []any:
		if sub, ok := s.Items2020, s.Items2020 != nil; ok {
			for i := range v {
				v[i] = fillDefaults(sub, v[i])
			}
		}
	}
	return v
}

// defaultOf returns the default given next to a reference or, if there is none, in its target.
func defaultOf(s *jsonschema.Schema) *any {
	if s.Default != nil {
		return s.Default
	}
	if s.Ref != nil {
		return defaultOf(s.Ref)
	}
	return nil
}

// cloneDefault copies an object or array so that documents do not share it.
func cloneDefault(v any) any {
	switch v := v.(type) {
	case map[string]any:
		c := make(map[string]any, len(v))
		for k, e := range v {
			c[k] = cloneDefault(e)
		}
		return c
	case []any:
		c := make([]any, len(v))
		for i, e := range v {
			c[i] = cloneDefault(e)
		}
		return c
	default:
		return v
	}
}
