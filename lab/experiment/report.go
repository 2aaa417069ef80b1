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

	"willowsill/lab/emulator"
)

// RevenueChart draws each variant's share of the revenue by second, with the times of the faults in the background, as SVG.
func (t *Table) RevenueChart() ([]byte, error) {
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
		area.Color, area.LineStyle.Width = color.NRGBA{R: 200, A: 36}, 0
		p.Add(area)
	}
	for i, r := range t.Rows {
		points := make(plotter.XYs, len(r.ShareBySecond))
		for second, share := range r.ShareBySecond {
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
	return renderSVG(p)
}

// OutcomeChart draws the late, partial, declined and forfeited queries of each variant as stacked bars.
func (t *Table) OutcomeChart() ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "queries not answered within the goal", "share"
	var previous *plotter.BarChart
	for i, series := range []struct {
		name string
		y    func(Row) float64
	}{{"late", func(r Row) float64 { return r.Late }}, {"partial", func(r Row) float64 { return r.Partial }},
		{"declined", func(r Row) float64 { return r.Declined }}, {"forfeited", func(r Row) float64 { return r.Forfeited }}} {
		bars, err := t.barChart(series.y, i)
		if err != nil {
			return nil, err
		}
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(series.name, bars)
	}
	p.Legend.Top = true
	p.NominalX(t.variantNames()...)
	return renderSVG(p)
}

// GapChart draws how much less each variant earns than the variant "oracle", or than the best one if there is no oracle.
func (t *Table) GapChart() ([]byte, error) {
	reference := 0.0
	for _, r := range t.Rows {
		if reference = max(reference, r.Mean); r.Name == "oracle" {
			reference = r.Mean
			break
		}
	}
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "revenue below that of the oracle, or of the best variant", "share"
	bars, err := t.barChart(func(r Row) float64 { return reference - r.Mean }, 0)
	if err != nil {
		return nil, err
	}
	p.Add(bars)
	p.NominalX(t.variantNames()...)
	return renderSVG(p)
}

// LatencyChart draws the cumulative distribution of each variant's latencies.
func (t *Table) LatencyChart() ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "latency of answers", "ms", "share of answers"
	for i, r := range t.Rows {
		if len(r.Latencies) == 0 || r.Latencies[0] <= 0 {
			continue
		}
		points := make(plotter.XYs, len(r.Latencies))
		for n, ns := range r.Latencies {
			points[n] = plotter.XY{X: float64(ns) / 1e6, Y: emulator.Percentiles[n] / 100}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Name, line)
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1} // only with data, as a logarithmic scale needs positive values
	}
	return renderSVG(p)
}

func (t *Table) barChart(value func(Row) float64, color int) (*plotter.BarChart, error) {
	var values plotter.Values
	for _, r := range t.Rows {
		values = append(values, value(r))
	}
	bars, err := plotter.NewBarChart(values, vg.Points(24))
	if err == nil {
		bars.Color, bars.LineStyle.Width = plotutil.Color(color), 0
	}
	return bars, err
}

func (t *Table) variantNames() (all []string) {
	for _, r := range t.Rows {
		all = append(all, r.Name)
	}
	return all
}

// FleetSize holds the speed and memory of the emulator for a fleet of one size.
type FleetSize struct {
	Aggregators     int
	EventsPerSecond float64 // events per second of real time
	HeapBytes       float64 // peak heap in bytes
}

// GrowthChart draws speed and memory against the size of the fleet, both on logarithmic scales, as SVG.
func GrowthChart(sizes []FleetSize) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "events per second, and heap in KB, by number of aggregators"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	for i, series := range []struct {
		name string
		y    func(FleetSize) float64
	}{{"events per second", func(s FleetSize) float64 { return s.EventsPerSecond }}, {"heap, KB", func(s FleetSize) float64 { return s.HeapBytes / 1e3 }}} {
		points := make(plotter.XYs, len(sizes))
		for n, s := range sizes {
			points[n] = plotter.XY{X: float64(s.Aggregators), Y: series.y(s)}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(line, dots)
		p.Legend.Add(series.name, line)
	}
	return renderSVG(p)
}

func renderSVG(p *plot.Plot) ([]byte, error) {
	w, err := p.WriterTo(18*vg.Centimeter, 9*vg.Centimeter, "svg")
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	_, err = w.WriteTo(&b)
	return b.Bytes(), err
}

var reportPage = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms":  func(ns int64) string { return fmt.Sprintf("%.1f", float64(ns)/1e6) },
	"svg": func(b []byte) template.HTML { return template.HTML(b) },
}).Parse(`<!DOCTYPE html><html lang="en"><meta charset="utf-8"><title>Experiments</title>
<style>body{font:15px sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .6em;border-bottom:1px solid #ccc;text-align:right}td:first-child,th:first-child{text-align:left}
.broken{color:#a00}</style>
<h1>Experiments</h1><p>Simulated replicas and clients in virtual time. The project's pages say what the models leave out.</p>
{{range .}}<h2>{{.Table.Name}}</h2><p>{{.Table.Question}}</p>{{range .Charts}}{{svg .}}{{end}}
<table><tr><th>variant<th>within goal<th>against the first<th>95% from<th>to<th>verdict<th>late<th>partial<th>declined<th>forfeited
<th>executions a query<th>further<th>p50 ms<th>p99 ms<th>p99.9 ms</tr>
{{range .Table.Rows}}<tr><td>{{.Name}}<td>{{printf "%.4f" .Mean}}<td>{{printf "%+.4f" .Against}}<td>{{printf "%+.4f" .Low}}
<td>{{printf "%+.4f" .High}}<td>{{.Verdict}}<td>{{printf "%.4f" .Late}}<td>{{printf "%.4f" .Partial}}<td>{{printf "%.4f" .Declined}}
<td>{{printf "%.4f" .Forfeited}}<td>{{printf "%.2f" .Executions}}<td>{{printf "%.3f" .Further}}<td>{{ms .P50}}<td>{{ms .P99}}<td>{{ms .P999}}</tr>
{{range .Broken}}<tr><td colspan="15" class="broken">{{.}}</tr>{{end}}{{end}}</table>
<p>{{.Table.Seeds}} seeds, script {{.Table.Hash}}.</p>{{end}}</html>
`))

// Report writes one self-contained HTML page with tables and their charts.
func Report(out io.Writer, tables []*Table) error {
	type part struct {
		Table  *Table
		Charts [][]byte
	}
	var parts []part
	for _, t := range tables {
		p := part{Table: t}
		for _, draw := range []func() ([]byte, error){t.RevenueChart, t.LatencyChart, t.OutcomeChart, t.GapChart} {
			chart, err := draw()
			if err != nil {
				return err
			}
			if i := bytes.Index(chart, []byte("<svg")); i >= 0 {
				chart = chart[i:]
			}
			p.Charts = append(p.Charts, chart)
		}
		parts = append(parts, p)
	}
	return reportPage.Execute(out, parts)
}
