// Package report renders saved scenario results as one HTML page with plots.
// gannetbench report calls it.
package report

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"html/template"
	"image/color"
	"io"
	"os"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/gannetwell/gannetwell/pkg/bench/scenario"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

var colors = map[scenario.Variant]color.Color{
	scenario.VariantProduct:  color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	scenario.VariantBaseline: color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
}

var variants = []scenario.Variant{scenario.VariantProduct, scenario.VariantBaseline}

// Read loads results from the JSON files that gannetbench load wrote.
func Read(files []string) (runs []scenario.Result, err error) {
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var r scenario.Result
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, errors.Wrapf(err, "decode scenario result %s", file)
		}
		runs = append(runs, r)
	}
	return runs, nil
}

// section holds the template data of one scenario.
type section struct {
	scenario.Result
	About                  string
	Latency, Goodput, Shed template.URL
	Product, Baseline      scenario.VariantResult
	Classes                []schema.Class
}

// Write writes the page with a section for each run.
func Write(w io.Writer, runs []scenario.Result) (err error) {
	defer func() { err = errors.Wrap(err, "write report") }()
	var sections []section
	for _, r := range runs {
		s := section{
			Result: r, About: scenario.About(r.Scenario),
			Product: r.Variants[scenario.VariantProduct], Baseline: r.Variants[scenario.VariantBaseline],
			Classes: []schema.Class{schema.ClassLive, schema.ClassInteractive, schema.ClassClerk, schema.ClassBatch},
		}
		if s.Latency, err = plotLatency(r); err != nil {
			return err
		}
		if s.Goodput, err = plotGoodput(r); err != nil {
			return err
		}
		if s.Shed, err = plotShed(r, s.Classes); err != nil {
			return err
		}
		sections = append(sections, s)
	}
	return page.Execute(w, sections)
}

// dataURL renders a plot as an SVG data URL.
func dataURL(p *plot.Plot) (template.URL, error) {
	p.Legend.Top, p.Legend.Left = true, true
	wt, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var buf bytes.Buffer
	if _, err := wt.WriteTo(&buf); err != nil {
		return "", err
	}
	return template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(buf.Bytes())), nil
}

// addLine adds a variant's line to a plot.
func addLine(p *plot.Plot, v scenario.Variant, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = colors[v]
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(string(v), line)
	return nil
}

// plotLatency plots latency by quantile on a logarithmic scale.
func plotLatency(r scenario.Result) (template.URL, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "latency by quantile", "percent of requests", "ms"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for _, v := range variants {
		var points plotter.XYs
		for _, b := range r.Variants[v].Distribution {
			if b.Ms > 0 {
				points = append(points, plotter.XY{X: b.Quantile, Y: b.Ms})
			}
		}
		if err := addLine(p, v, points); err != nil {
			return "", err
		}
	}
	if !slices.ContainsFunc(variants, func(v scenario.Variant) bool { return r.Variants[v].P99Ms > 0 }) {
		p.Y.Scale, p.Y.Tick.Marker = plot.LinearScale{}, plot.DefaultTicks{} // a logarithmic scale needs positive values
	}
	return dataURL(p)
}

// plotGoodput plots complete responses by second.
func plotGoodput(r scenario.Result) (template.URL, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "complete responses by second", "s", "responses"
	p.Y.Min = 0
	for _, v := range variants {
		var points plotter.XYs
		for _, t := range r.Variants[v].Timeline {
			points = append(points, plotter.XY{X: t.Second, Y: float64(t.Good)})
		}
		if err := addLine(p, v, points); err != nil {
			return "", err
		}
	}
	return dataURL(p)
}

// plotShed plots the requests shed, by class.
func plotShed(r scenario.Result, classes []schema.Class) (template.URL, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "requests shed, by class", "requests"
	const width = 14
	var names []string
	for _, c := range classes {
		names = append(names, string(c))
	}
	for i, v := range variants {
		var values plotter.Values
		for _, c := range classes {
			values = append(values, float64(r.Variants[v].ShedByClass[c]))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(width))
		if err != nil {
			return "", err
		}
		bars.Color = colors[v]
		bars.Offset = vg.Points(float64(width*i) - width/2)
		p.Add(bars)
		p.Legend.Add(string(v), bars)
	}
	p.NominalX(names...)
	return dataURL(p)
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>gannetwell: request path under load and faults</title>
<style>body{font:15px/1.5 sans-serif;max-width:70em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}th:first-child,td:first-child{text-align:left}img{max-width:32%}</style>
<h1>Request path under load and faults</h1>
<p>Each scenario is run against the product and against a baseline: round robin, no limits, no hedging, retries without a budget.</p>
{{range .}}{{$s := .}}<h2>{{.Scenario}}</h2>
<p>{{.About}}. Offered {{printf "%.0f" .OfferedRPS}} requests a second; the backend servers can serve {{printf "%.0f" .CapacityRPS}}.</p>
<table><tr><th></th><th>goodput/s</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th><th>backend requests per request</th><th>wrong</th><th>once requests run twice</th><th>reported not run but ran</th><th>cut off</th><th>cut off by the fault</th><th>RSS MB</th></tr>
{{range $v, $f := .Variants}}<tr><td>{{$v}}</td><td>{{printf "%.0f" $f.GoodputRPS}}</td><td>{{printf "%.1f" $f.P50Ms}}</td><td>{{printf "%.1f" $f.P99Ms}}</td><td>{{printf "%.1f" $f.P999Ms}}</td><td>{{printf "%.2f" $f.RetriesRatio}}</td><td>{{$f.WrongAnswers}}</td><td>{{$f.OnceRanTwice}}</td><td>{{$f.NotRunButRan}}</td><td>{{$f.CutOff}}</td><td>{{$f.CutOffByFault}}</td><td>{{printf "%.0f" $f.RSSMB}}</td></tr>
{{end}}</table>
<table><tr><th>class</th><th>steady p99 ms</th><th>p99 ms</th><th>shed</th><th>baseline p99 ms</th><th>baseline shed</th></tr>
{{range .Classes}}{{$p := index $s.Product.ByClass .}}{{$b := index $s.Baseline.ByClass .}}<tr><td>{{.}}</td><td>{{printf "%.1f" $p.SteadyP99Ms}}</td><td>{{printf "%.1f" $p.P99Ms}}</td><td>{{$p.Shed}}</td><td>{{printf "%.1f" $b.P99Ms}}</td><td>{{$b.Shed}}</td></tr>
{{end}}</table>
<p><img src="{{.Latency}}" alt="latency by quantile"><img src="{{.Goodput}}" alt="complete responses by second"><img src="{{.Shed}}" alt="requests shed, by class"></p>
{{end}}</html>
`))
