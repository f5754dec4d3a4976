package config

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Problem is one problem of a document.
type Problem struct {
	Line   int    // from 1
	Column int    // from 1, in bytes
	Field  string // dotted path, empty for the whole document
	Want   string // what was expected
}

// ErrInvalid reports all problems found in a document.
type ErrInvalid struct {
	File     string
	Problems []Problem
}

// Error returns one line per problem: file:line:column: field: what was expected.
func (e ErrInvalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		field := ""
		if p.Field != "" {
			field = p.Field + ": "
		}
		lines = append(lines, fmt.Sprintf("%s:%d:%d: %s%s", e.File, p.Line, p.Column, field, p.Want))
	}
	return strings.Join(lines, "\n")
}

// positions maps the dotted path of each value to its byte offset.
type positions struct {
	offsets    map[string]int
	src        []byte
	duplicates []Problem
}

// newPositions records where each value of the syntax tree begins.
func newPositions(src []byte, v *hujson.Value) *positions {
	p := &positions{offsets: map[string]int{}, src: src}
	p.walk("", v)
	return p
}

func (p *positions) walk(path string, v *hujson.Value) {
	p.offsets[path] = v.StartOffset
	switch t := v.Value.(type) {
	case *hujson.Object:
		for i := range t.Members {
			m := &t.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			sub := joinPath(path, name)
			if _, ok := p.offsets[sub]; ok {
				p.duplicates = append(p.duplicates, p.problem(m.Name.StartOffset, sub, "expected each name once, this one is given again"))
			}
			p.walk(sub, &m.Value)
			p.offsets[sub] = m.Name.StartOffset
		}
	case *hujson.Array:
		for i := range t.Elements {
			p.walk(joinPath(path, strconv.Itoa(i)), &t.Elements[i])
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (p *positions) problem(offset int, field, want string) Problem {
	line, column := lineColumn(p.src, offset)
	return Problem{Line: line, Column: column, Field: field, Want: want}
}

// lineColumn converts a byte offset to a line and column, both from 1.
func lineColumn(src []byte, offset int) (line, column int) {
	before := string(src[:min(offset, len(src))])
	line = 1 + strings.Count(before, "\n")
	column = len(before) - strings.LastIndex(before, "\n")
	return line, column
}

var syntaxPlace = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

// syntaxError converts a parser error to an ErrInvalid.
func syntaxError(file string, src []byte, err error) error {
	m := syntaxPlace.FindStringSubmatch(err.Error())
	if m == nil {
		line, column := lineColumn(src, len(src))
		return ErrInvalid{File: file, Problems: []Problem{{Line: line, Column: column, Want: "expected JSON with comments: " + err.Error()}}}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return ErrInvalid{File: file, Problems: []Problem{{Line: line, Column: column, Want: "expected JSON with comments: " + m[3]}}}
}

// schemaError converts a validation error with its causes to an ErrInvalid.
func schemaError(file string, at *positions, err error) error {
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return errors.Wrapf(err, "check %s", file)
	}
	out := ErrInvalid{File: file}
	collectProblems(ve, at, &out.Problems)
	slices.SortFunc(out.Problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), strings.Compare(a.Field, b.Field))
	})
	return out
}

func collectProblems(ve *jsonschema.ValidationError, at *positions, out *[]Problem) {
	if len(ve.Causes) > 0 {
		for _, c := range ve.Causes {
			collectProblems(c, at, out)
		}
		return
	}
	path := strings.Join(ve.InstanceLocation, ".")
	if extra, ok := ve.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, name := range extra.Properties {
			field := joinPath(path, name)
			*out = append(*out, at.problem(at.offsets[field], field, "unknown field, expected one that the settings reference names"))
		}
		return
	}
	want := ve.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	*out = append(*out, at.problem(at.offsets[path], path, "expected: "+want))
}
