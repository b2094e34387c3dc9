package main

import (
	"bytes"
	"fmt"
	"html/template"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/grebedock/grebedock/emulator"
)

// reportPage is the template of the report, a single self-contained HTML file.
var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:14px sans-serif;max-width:72em;margin:2em auto}` +
	`table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ccc}` +
	`.differs{font-weight:bold}figure{display:inline-block;margin:1em}</style>
<h1>{{.Name}}</h1>
<p>Mean over the seeds, with the 95 % confidence interval; bold where it differs ` +
	`from that of the first variant, paired by seed. Simulated machines.</p>
<table><tr><th>metric</th>{{range .Variants}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td>` +
	`{{range .Cells}}<td{{if .Differs}} class="differs"{{end}}>{{.Text}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}<figure>{{.}}</figure>
{{end}}`))

type pageRow struct {
	Name  string
	Cells []pageCell
}

type pageCell struct {
	Text    string
	Differs bool
}

// html renders the report as an HTML page.
func (t *comparison) html(all []emulator.Result) ([]byte, error) {
	var rows []pageRow
	var plots []template.HTML
	for i, name := range t.rows {
		row := pageRow{Name: name}
		for _, e := range t.cells[i] {
			row.Cells = append(row.Cells, pageCell{e.text(), e.differsFromFirst})
		}
		rows = append(rows, row)
		svg, err := t.plot(name, t.cells[i])
		if err != nil {
			return nil, err
		}
		plots = append(plots, template.HTML(svg)) // drawn by the plot library, which escapes names
	}
	for _, f := range []struct {
		name string
		of   func(emulator.TimelinePoint) float64
	}{
		{"machines up", func(m emulator.TimelinePoint) float64 { return float64(m.Machines) }},
		{"tasks running", func(m emulator.TimelinePoint) float64 { return float64(m.RunningTasks) }},
		{"unfinished jobs", func(m emulator.TimelinePoint) float64 { return float64(m.Jobs) }},
	} {
		svg, err := t.timeline(all, f.name, f.of)
		if err != nil {
			return nil, err
		}
		plots = append(plots, template.HTML(svg))
	}
	var b bytes.Buffer
	err := reportPage.Execute(
		&b,
		map[string]any{"Name": all[0].Experiment, "Variants": t.variants, "Rows": rows, "Plots": plots},
	)
	return b.Bytes(), err
}

// timeline plots a value over the simulated time of the runs with one seed, with one line for each
// variant, and marks the faults.
func (t *comparison) timeline(
	all []emulator.Result,
	name string,
	value func(emulator.TimelinePoint) float64,
) ([]byte, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", name, all[0].Seed)
	p.X.Label.Text = "s"
	p.Add(plotter.NewGrid())
	top := 0.0
	for k, v := range t.variants {
		for i := range all {
			r := &all[i]
			if r.Variant != v || r.Seed != all[0].Seed {
				continue
			}
			var pts plotter.XYs
			for _, m := range r.Timeline {
				pts = append(pts, plotter.XY{X: m.AtS, Y: value(m)})
				top = max(top, value(m))
			}
			if len(pts) == 0 {
				continue
			}
			l, err := plotter.NewLine(pts)
			if err != nil {
				return nil, err
			}
			l.Color = plotutil.Color(k)
			p.Add(l)
			p.Legend.Add(v, l)
		}
	}
	for _, f := range all[0].Faults {
		l, err := plotter.NewLine(plotter.XYs{{X: f.AtS, Y: 0}, {X: f.AtS, Y: top}})
		if err != nil {
			return nil, err
		}
		l.Dashes = plotutil.Dashes(1)
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: f.AtS, Y: top}},
			Labels: []string{f.Kind},
		})
		if err != nil {
			return nil, err
		}
		p.Add(l, label)
	}
	return renderSVG(p, 16*vg.Centimeter, 8*vg.Centimeter)
}

func renderSVG(p *plot.Plot, w, h vg.Length) ([]byte, error) {
	c := vgsvg.New(w, h)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	_, err := c.WriteTo(&b)
	return b.Bytes(), err
}

type errorPoints struct {
	plotter.XYs
	plotter.YErrors
}

// plot draws a metric as a point with a confidence interval for each variant.
func (t *comparison) plot(name string, cells []cell) ([]byte, error) {
	p := plot.New()
	p.Title.Text = name
	var pts errorPoints
	for k, estimate := range cells {
		halfWidth := estimate.halfWidth
		if math.IsInf(halfWidth, 0) {
			halfWidth = 0 // a single seed gives no interval
		}
		pts.XYs = append(pts.XYs, plotter.XY{X: float64(k), Y: estimate.mean})
		pts.YErrors = append(pts.YErrors, struct{ Low, High float64 }{halfWidth, halfWidth})
	}
	bars, err := plotter.NewYErrorBars(pts)
	if err != nil {
		return nil, err
	}
	dots, err := plotter.NewScatter(pts.XYs)
	if err != nil {
		return nil, err
	}
	p.Add(plotter.NewGrid(), bars, dots)
	p.NominalX(t.variants...)
	p.X.Min, p.X.Max = -0.5, float64(len(cells))-0.5
	return renderSVG(p, 10*vg.Centimeter, 7*vg.Centimeter)
}
