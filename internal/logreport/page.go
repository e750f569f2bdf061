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
	// legendHeadroom is the ratio of the y axis's maximum to the highest value; the space above the
	// lines is for the legend.
	legendHeadroom = 1.25
	// millisecondsPerSecond converts seconds to the plots' unit.
	millisecondsPerSecond = 1000
)

// page is the data of the template.
type page struct {
	Requests, Dropped int
	Outcomes, Times   template.HTML
	Routes, Failures  []Row
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<meta charset="utf-8"><title>ochrebay report</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:right}td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}</style>
<h1>Requests</h1>
<p>{{.Requests}} requests whose end was logged. Log lines of successful requests are sampled under load{{if .Dropped}}, and {{.Dropped}} lines were dropped{{end}}; failures are logged more completely than successes.</p>
<h2>Outcomes per second</h2>{{.Outcomes}}
<h2>Duration of served requests, ms</h2>{{.Times}}
<h2>Routes</h2>
<table><tr><th>route<th>requests<th>served<th>p50<th>p99</tr>{{range .Routes}}<tr><td>{{.Name}}<td>{{.Count}}<td>{{.Served}}<td>{{.P50}}<td>{{.P99}}</tr>{{end}}</table>
<h2>Failures by result code</h2>
<table><tr><th>code, outcome<th>requests<th>p50<th>p99</tr>{{range .Failures}}<tr><td>{{.Name}}<td>{{.Count}}<td>{{.P50}}<td>{{.P99}}</tr>{{end}}</table>
<p>The result codes are described in docs/RESULT-CODES.md; <code>ochrebay trace ID FILE...</code> shows the course of one request.</p>
`))

// WriteHTML writes the report as one self-contained page.
func (r *Report) WriteHTML(output io.Writer) error {
	seconds := r.Seconds()
	outcomes, err := plotOutcomes(seconds)
	if err != nil {
		return err
	}
	times, err := plotDurations(seconds)
	if err != nil {
		return err
	}
	return pageTemplate.Execute(output, page{
		Requests: r.Len(), Dropped: r.Dropped, Outcomes: outcomes, Times: times, Routes: r.Routes(), Failures: r.Failures(),
	})
}

func plotOutcomes(seconds []SecondStats) (template.HTML, error) {
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
		lines = append(lines, name, pointsOf(seconds, func(second SecondStats) float64 { return float64(second.Outcomes[name]) }))
	}
	return renderPlot("requests per second", lines)
}

func plotDurations(seconds []SecondStats) (template.HTML, error) {
	return renderPlot("ms", []any{
		"p50", pointsOf(seconds, func(second SecondStats) float64 { return second.P50.Seconds() * millisecondsPerSecond }),
		"p99", pointsOf(seconds, func(second SecondStats) float64 { return second.P99.Seconds() * millisecondsPerSecond }),
	})
}

func pointsOf(seconds []SecondStats, value func(second SecondStats) float64) plotter.XYs {
	line := make(plotter.XYs, len(seconds))
	for position, second := range seconds {
		line[position].X = float64(second.Offset)
		line[position].Y = value(second)
	}
	return line
}

// renderPlot returns a plot of named lines as SVG.
func renderPlot(unit string, lines []any) (template.HTML, error) {
	figure := plot.New()
	figure.X.Label.Text = "s"
	figure.Y.Label.Text = unit
	figure.Y.Min = 0
	if err := plotutil.AddLines(figure, lines...); err != nil {
		return "", err
	}
	// The legend is placed above the lines.
	figure.Legend.Top = true
	figure.Y.Max *= legendHeadroom
	writer, err := figure.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return "", err
	}
	// The XML declaration is not allowed inside an HTML page.
	raw := image.Bytes()
	if start := bytes.Index(raw, []byte("<svg")); start > 0 {
		raw = raw[start:]
	}
	return template.HTML(raw), nil //nolint:gosec // The SVG is generated here.
}
