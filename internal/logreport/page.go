package logreport

import (
	"bytes"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	// headRoom is how much higher than its lines a plot is, for the legend.
	headRoom = 1.25
	// millisecondsPerSecond turns seconds into the plots' unit.
	millisecondsPerSecond = 1000
)

// page is what the template shows.
type page struct {
	Requests, Dropped int
	Outcomes, Times   template.HTML
	Routes, Failures  []Row
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<meta charset="utf-8"><title>ochrebay report</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:right}td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}</style>
<h1>Requests</h1>
<p>{{.Requests}} requests whose end was logged. Lines of calm requests are thinned under load{{if .Dropped}}, and {{.Dropped}} lines were dropped{{end}}: failures are complete sooner than successes.</p>
<h2>Outcomes a second</h2>{{.Outcomes}}
<h2>Time of served requests, ms</h2>{{.Times}}
<h2>Routes</h2>
<table><tr><th>route<th>requests<th>served<th>p50<th>p99</tr>{{range .Routes}}<tr><td>{{.Name}}<td>{{.Count}}<td>{{.Served}}<td>{{.P50}}<td>{{.P99}}</tr>{{end}}</table>
<h2>Failures by result code</h2>
<table><tr><th>code, outcome<th>requests<th>p50<th>p99</tr>{{range .Failures}}<tr><td>{{.Name}}<td>{{.Count}}<td>{{.P50}}<td>{{.P99}}</tr>{{end}}</table>
<p>docs/RESULT-CODES.md says what a code means, <code>ochrebay trace ID FILE...</code> what became of one request.</p>
`))

// WriteHTML writes the report as one page that needs nothing beside it.
func (r *Report) WriteHTML(output io.Writer) error {
	seconds := r.Seconds()
	outcomes, err := drawOutcomes(seconds)
	if err != nil {
		return err
	}
	times, err := drawTimes(seconds)
	if err != nil {
		return err
	}
	return pageTemplate.Execute(output, page{
		Requests: r.Len(), Dropped: r.Dropped, Outcomes: outcomes, Times: times, Routes: r.Routes(), Failures: r.Failures(),
	})
}

func drawOutcomes(seconds []SecondStats) (template.HTML, error) {
	names := map[string]bool{}
	for _, second := range seconds {
		for name := range second.Outcomes {
			names[name] = true
		}
	}
	var lines []any
	for _, name := range []string{Served, "not_run", "unknown", "ran"} {
		if !names[name] {
			continue
		}
		lines = append(lines, name, points(seconds, func(second SecondStats) float64 { return float64(second.Outcomes[name]) }))
	}
	return draw("requests a second", lines)
}

func drawTimes(seconds []SecondStats) (template.HTML, error) {
	return draw("ms", []any{
		"p50", points(seconds, func(second SecondStats) float64 { return second.P50.Seconds() * millisecondsPerSecond }),
		"p99", points(seconds, func(second SecondStats) float64 { return second.P99.Seconds() * millisecondsPerSecond }),
	})
}

func points(seconds []SecondStats, value func(second SecondStats) float64) plotter.XYs {
	line := make(plotter.XYs, len(seconds))
	for position, second := range seconds {
		line[position].X = float64(second.Offset)
		line[position].Y = value(second)
	}
	return line
}

// draw returns a plot of named lines as SVG.
func draw(unit string, lines []any) (template.HTML, error) {
	drawing := plot.New()
	drawing.X.Label.Text = "s"
	drawing.Y.Label.Text = unit
	drawing.Y.Min = 0
	if err := plotutil.AddLines(drawing, lines...); err != nil {
		return "", err
	}
	// The legend stands above the lines.
	drawing.Legend.Top = true
	drawing.Y.Max *= headRoom
	writer, err := drawing.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return "", err
	}
	// The XML head has no place within a page.
	raw := image.Bytes()
	if start := bytes.Index(raw, []byte("<svg")); start > 0 {
		raw = raw[start:]
	}
	return template.HTML(raw), nil //nolint:gosec // The plot is our own.
}
