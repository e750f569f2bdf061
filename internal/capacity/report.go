package capacity

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes of the full runs: the numbers of tenants and of programs in progress that
// ochrebay is required to support (docs/CAPACITY.md).
const (
	fullTenantCount  = 48_000
	fullProgramCount = 1_000_000
)

// Measure measures all linear fits and runs. If onlyPart is not empty, it measures only
// the part with that name, or all runs for "runs". quick selects smaller sizes. Measure
// writes a line for each part to progress.
func Measure(quick bool, onlyPart string, progress io.Writer) (Report, error) {
	report := Report{Quick: quick, Machine: fmt.Sprintf("%s/%s, %d processors, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())}
	scale := func(full, small []int) []int {
		if quick {
			return small
		}
		return full
	}
	for _, part := range []struct {
		name    string
		measure func() ([]LinearFit, error)
	}{
		{"program headers", func() ([]LinearFit, error) {
			return fitLedger(scale([]int{25_000, 50_000, 100_000, 200_000}, []int{1000, 2000, 4000, 8000}))
		}},
		{"turns of a program", func() ([]LinearFit, error) {
			return []LinearFit{fitTurns(scale([]int{4000}, []int{400})[0], []int{10, 50, 110, 220})}, nil
		}},
		{"tenants", func() ([]LinearFit, error) {
			return fitTenants(scale([]int{6000, 12_000, 24_000, 48_000}, []int{500, 1000, 2000, 4000}))
		}},
		{"engine reports", func() ([]LinearFit, error) { return fitEngineReports([]int{0, 50, 100, 200}), nil }},
		{"synced writes", func() ([]LinearFit, error) { return fitSyncedWrites([]int{1, 8, 32, 128}, 2048) }},
	} {
		if onlyPart != "" && onlyPart != part.name {
			continue
		}
		_, _ = fmt.Fprintln(progress, "capacity: measuring", part.name)
		fits, err := part.measure()
		if err != nil {
			return report, fmt.Errorf("%s: %w", part.name, err)
		}
		report.Fits = append(report.Fits, fits...)
	}
	var err error
	if len(report.Fits) == 0 || onlyPart == "" {
		err = report.measureRuns(quick, onlyPart, progress)
	}
	report.PeakMemoryMB = peakMemoryMB()
	return report, err
}

func (r *Report) measureRuns(quick bool, onlyPart string, progress io.Writer) error {
	programs, tenants := fullProgramCount, fullTenantCount
	if quick {
		programs, tenants = 10_000, 1000
	}
	for _, part := range []struct {
		name    string
		measure func() ([]Measurement, error)
	}{
		{"1 million program headers", func() ([]Measurement, error) { return measureProgramHeaders(programs) }},
		{"48,000 tenants", func() ([]Measurement, error) { return measureTenantTree(tenants) }},
	} {
		if onlyPart != "" && onlyPart != "runs" && onlyPart != part.name {
			continue
		}
		_, _ = fmt.Fprintln(progress, "capacity: running", part.name)
		outcome, err := measureRun(part.name, part.measure)
		if err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
		_, _ = fmt.Fprintf(progress, "capacity: %s used %.0f s of CPU time\n", part.name, outcome.CPUSeconds)
		r.Runs = append(r.Runs, outcome)
	}
	return nil
}

// Print writes the report as text tables.
func (r Report) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "machine: %s; peak memory %.0f MB\n\n", r.Machine, r.PeakMemoryMB)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ROLE\tWHAT\tUNIT\tPER\tSLOPE\tBASE\tRANGE\tR2\tRESIDUAL\tFIT")
	for _, fit := range r.Fits {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.4g..%.4g\t%.3f\t%.1f%%\t%s\n", fit.Role, fit.Name, fit.Unit, fit.Driver,
			fit.Slope, fit.Intercept, fit.Points[0].X, fit.Points[len(fit.Points)-1].X, fit.R2, 100*fit.Residual, fit.Quality())
	}
	_ = table.Flush()
	for _, run := range r.Runs {
		_, _ = fmt.Fprintf(out, "\n%s (heap %.0f MB, CPU time %.1f s)\n", run.Name, run.HeapMB, run.CPUSeconds)
		for _, value := range run.Measurements {
			_, _ = fmt.Fprintf(out, "  %-76s %12.4g %s\n", value.Name, value.Value, value.Unit)
		}
	}
}

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	folderMode = 0o755
)

// WritePlots writes one SVG file per linear fit to a folder.
func (r Report) WritePlots(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	for _, fit := range r.Fits {
		if err := fit.writePlot(folder); err != nil {
			return fmt.Errorf("%s: %w", fit.Name, err)
		}
	}
	return nil
}

// PlotFileName returns the file name of the plot, derived from the name and the driver.
func (f LinearFit) PlotFileName() string {
	name := strings.ToLower(f.Name + " by " + f.Driver)
	return "capacity-" + strings.NewReplacer(" ", "-", ",", "", "/", "-per-").Replace(name) + ".svg"
}

func (f LinearFit) writePlot(folder string) error {
	figure := plot.New()
	figure.Title.Text = f.Name
	figure.X.Label.Text = f.Driver
	figure.Y.Label.Text = f.Unit
	figure.X.Min = 0
	figure.Y.Min = 0
	points := make(plotter.XYs, len(f.Points))
	for position, point := range f.Points {
		points[position].X = point.X
		points[position].Y = point.Y
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	last := f.Points[len(f.Points)-1].X
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: f.Intercept}, {X: last, Y: f.predict(last)}})
	if err != nil {
		return err
	}
	figure.Add(plotter.NewGrid(), line, scatter)
	return figure.Save(plotWidth, plotHeight, filepath.Join(folder, f.PlotFileName()))
}
