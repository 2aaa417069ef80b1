package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Chart draws each variant's share of revenue second by second, with the stretches of the faults behind, as SVG.
func (t *Table) Chart() ([]byte, error) {
	p := plot.New()
	p.Title.Text = t.Question
	p.X.Label.Text, p.Y.Label.Text = "second", "revenue within goal"
	p.Y.Min, p.Y.Max = 0, 1.02
	p.Legend.Top, p.Legend.Left = false, true
	for _, f := range t.Faults {
		from, until := float64(f.From)/1e9, float64(f.Until)/1e9
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: until, Y: 0}, {X: until, Y: 1.02}, {X: from, Y: 1.02}})
		if err != nil {
			return nil, err
		}
		area.Color, area.LineStyle.Width = color.RGBA{R: 200, A: 18}, 0
		p.Add(area)
	}
	for i, r := range t.Rows {
		points := make(plotter.XYs, len(r.Lines))
		for second, share := range r.Lines {
			points[second] = plotter.XY{X: float64(second), Y: share}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color, line.Dashes, line.Width = plotutil.Color(i), plotutil.Dashes(i/7), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(r.Name, line)
	}
	return svg(p)
}

// Size is how a fleet of a size was played.
type Size struct {
	Aggregators int
	Events      float64 // a second of real time
	Heap        float64 // bytes at the most
}

// Growth draws speed and memory against the size of the fleet, both on logarithmic scales, as SVG.
func Growth(sizes []Size) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "events a second, and heap in KB, by aggregators"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	for i, of := range []struct {
		name string
		y    func(Size) float64
	}{{"events a second", func(s Size) float64 { return s.Events }}, {"heap, KB", func(s Size) float64 { return s.Heap / 1e3 }}} {
		points := make(plotter.XYs, len(sizes))
		for n, s := range sizes {
			points[n] = plotter.XY{X: float64(s.Aggregators), Y: of.y(s)}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(line, dots)
		p.Legend.Add(of.name, line)
	}
	return svg(p)
}

func svg(p *plot.Plot) ([]byte, error) {
	w, err := p.WriterTo(18*vg.Centimeter, 9*vg.Centimeter, "svg")
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	_, err = w.WriteTo(&b)
	return b.Bytes(), err
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms":  func(ns int64) string { return fmt.Sprintf("%.1f", float64(ns)/1e6) },
	"svg": func(b []byte) template.HTML { return template.HTML(b) },
}).Parse(`<!DOCTYPE html><html lang="en"><meta charset="utf-8"><title>Experiments</title>
<style>body{font:15px sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .6em;border-bottom:1px solid #ccc;text-align:right}td:first-child,th:first-child{text-align:left}
.broken{color:#a00}</style>
<h1>Experiments</h1><p>Model replicas and clients in virtual time; what the models leave out stands in the project's pages.</p>
{{range .}}<h2>{{.Table.Name}}</h2><p>{{.Table.Question}}</p>{{svg .Chart}}
<table><tr><th>variant<th>within goal<th>against the first<th>95% from<th>to<th>verdict<th>late<th>partial<th>declined<th>forfeited
<th>executions a query<th>further<th>p50 ms<th>p99 ms<th>p99.9 ms</tr>
{{range .Table.Rows}}<tr><td>{{.Name}}<td>{{printf "%.4f" .Mean}}<td>{{printf "%+.4f" .Against}}<td>{{printf "%+.4f" .Low}}
<td>{{printf "%+.4f" .High}}<td>{{.Verdict}}<td>{{printf "%.4f" .Late}}<td>{{printf "%.4f" .Partial}}<td>{{printf "%.4f" .Declined}}
<td>{{printf "%.4f" .Forfeited}}<td>{{printf "%.2f" .Executions}}<td>{{printf "%.3f" .Further}}<td>{{ms .P50}}<td>{{ms .P99}}<td>{{ms .P999}}</tr>
{{range .Broken}}<tr><td colspan="15" class="broken">{{.}}</tr>{{end}}{{end}}</table>
<p>{{.Table.Seeds}} seeds, script {{.Table.Hash}}.</p>{{end}}</html>
`))

// Report writes one page of tables with their charts, which opens from a disk.
func Report(out io.Writer, tables []*Table) error {
	type part struct {
		Table *Table
		Chart []byte
	}
	var parts []part
	for _, t := range tables {
		chart, err := t.Chart()
		if err != nil {
			return err
		}
		if i := bytes.Index(chart, []byte("<svg")); i >= 0 {
			chart = chart[i:]
		}
		parts = append(parts, part{t, chart})
	}
	return page.Execute(out, parts)
}
